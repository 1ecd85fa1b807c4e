/// Checks of request heads that http_parser does not make.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "peridotshelf/http/client.h"

namespace peridotshelf::http::detail {

/// Why a request is rejected. `reason` is a string literal.
struct Rejection {
  int status = 0;
  const char* reason = "";
  /// Of a 503.
  int64_t retry_after_s = 1;
};

/// Checks the bytes of a head: http_parser accepts spaces in header names,
/// folded lines, which it joins, and lines that end with LF alone, so that an
/// engine could read another request than the gateway.
class HeadCheck {
 public:
  /// Reads `bytes` up to the end of the head and ignores what follows. Returns
  /// the reason to reject the request, or nullopt if there is none so far.
  std::optional<Rejection> Read(std::string_view bytes);
  /// Starts with the next request.
  void Restart() { *this = {}; }

 private:
  enum class State { kStart, kRequestLine, kLineStart, kName, kValue, kEnd };

  /// Returns the reason to reject the request because of `byte`.
  const char* ReadByte(char byte);
  const char* ReadRequestLine(char byte);
  /// Expects LF after the CR that ends a line.
  const char* EndLine(State next);

  State m_state = State::kStart;
  bool m_expects_line_feed = false;
  size_t m_spaces = 0;
};

/// The parts of a request's head that decide whether it is valid.
struct RequestHead {
  std::string_view method;
  std::string_view target;
  std::span<const Header> headers;
  int major_version = 1;
  int minor_version = 1;
};

/// Returns the reason to reject a head whose bytes are valid: its version, its
/// target, its Host or its Transfer-Encoding.
std::optional<Rejection> CheckHead(const RequestHead& head);

/// Authority, and path with query, of a target in absolute form.
struct AbsoluteTarget {
  std::string authority;
  std::string target;
};

/// Returns the parts of `target` if it is in absolute form, as requests to a
/// proxy have it.
std::optional<AbsoluteTarget> SplitAbsoluteTarget(std::string_view target);

}  // namespace peridotshelf::http::detail
