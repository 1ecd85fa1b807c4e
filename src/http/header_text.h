/// Which texts HTTP/1.1 allows in a message head (RFC 9110, RFC 9112).
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"

namespace peridotshelf::http {

/// Returns whether `name` is a token, as the names of headers are.
bool IsHeaderName(std::string_view name);

/// Returns whether `value` has no control characters but tabs. Bytes over 127
/// (obs-text) are allowed and opaque.
bool IsHeaderValue(std::string_view value);

/// Returns whether `target` is visible ASCII, as URIs are.
bool IsRequestTarget(std::string_view target);

/// Checks the lines of a request's head, with which http_parser is lenient: it
/// takes any byte after a carriage return for a line feed.
class HeadScanner {
 public:
  /// Takes the next bytes of the request; ignores those after its head.
  void Feed(std::string_view bytes);
  bool is_malformed() const { return m_is_malformed; }

 private:
  void EndLine();

  size_t m_lines = 0;
  size_t m_line_bytes = 0;
  size_t m_spaces_in_first_line = 0;
  bool m_is_after_return = false;
  bool m_is_complete = false;
  bool m_is_malformed = false;
};

/// Returns which part of a received head is not allowed; null if none.
/// `http_major` is 0 if the request line has no version.
const char* FindMalformed(int http_major, const HeadScanner& scanner,
                          std::string_view target,
                          std::span<const Header> headers);

/// Removes the white space after values, which is not part of them. http_parser
/// leaves it there.
void TrimValues(std::vector<Header>& headers);

/// Returns why the request cannot be sent, since one of its texts would be read
/// as something else; nullopt if it can.
std::optional<Error> FindUnsendable(const ClientRequest& request);

}  // namespace peridotshelf::http
