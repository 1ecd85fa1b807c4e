#include "head_check.h"

#include <strings.h>

#include <algorithm>

#include "peridotshelf/http/status.h"

namespace peridotshelf::http::detail {
namespace {

constexpr char kDelete = 0x7f;
constexpr std::string_view kSchemeEnd = "://";

bool IsAlphanumeric(char byte) {
  return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= 'a' && byte <= 'z');
}

/// Returns whether names of methods and headers may have the byte.
bool IsTokenByte(char byte) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsAlphanumeric(byte) || kOthers.find(byte) != std::string_view::npos;
}

/// Returns whether the byte is printable ASCII other than a space.
bool IsVisible(char byte) { return byte > ' ' && byte < kDelete; }

bool IsControl(char byte) {
  return (static_cast<unsigned char>(byte) < ' ' && byte != '\t') ||
         byte == kDelete;
}

bool IsSameText(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

/// Returns whether `text` may be the name and port of a host. It may be empty.
bool IsAuthority(std::string_view text) {
  static constexpr std::string_view kForbidden = "/?#@\\,\"<>^`{|}";
  return std::all_of(text.begin(), text.end(), [](char byte) {
    return IsVisible(byte) && kForbidden.find(byte) == std::string_view::npos;
  });
}

const char* CheckTarget(const RequestHead& head) {
  const std::string_view target = head.target;
  if (target.find('#') != std::string_view::npos) {
    return "the target has a fragment";
  }
  if (target.starts_with('/')) return nullptr;
  if (target == "*") {
    return head.method == "OPTIONS" ? nullptr
                                    : "the target * is for OPTIONS only";
  }
  const auto absolute = SplitAbsoluteTarget(target);
  if (!absolute) return "the target is neither a path nor a URL";
  if (absolute->authority.empty() || !IsAuthority(absolute->authority)) {
    return "the target has no valid host";
  }
  return nullptr;
}

const char* CheckHost(const RequestHead& head) {
  size_t hosts = 0;
  for (const Header& header : head.headers) {
    if (!IsSameText(header.name, "Host")) continue;
    ++hosts;
    if (!IsAuthority(Trim(header.value))) return "the Host header is not valid";
  }
  if (hosts > 1) return "several Host headers";
  // HTTP/1.0 has no Host header.
  if (hosts == 0 && head.minor_version > 0) return "no Host header";
  return nullptr;
}

const char* CheckTransferEncoding(const RequestHead& head) {
  size_t codings = 0;
  for (const Header& header : head.headers) {
    if (!IsSameText(header.name, "Transfer-Encoding")) continue;
    if (++codings > 1) return "several Transfer-Encoding headers";
    if (head.minor_version == 0) return "Transfer-Encoding in HTTP/1.0";
    if (!IsSameText(Trim(header.value), "chunked")) {
      return "a transfer coding other than chunked";
    }
  }
  return nullptr;
}

}  // namespace

std::optional<Rejection> HeadCheck::Read(std::string_view bytes) {
  for (const char byte : bytes) {
    if (m_state == State::kEnd && !m_expects_line_feed) return std::nullopt;
    if (const char* reason = ReadByte(byte)) {
      return Rejection{kBadRequest, reason};
    }
  }
  return std::nullopt;
}

const char* HeadCheck::ReadByte(char byte) {
  if (m_expects_line_feed) {
    m_expects_line_feed = false;
    return byte == '\n' ? nullptr : "a carriage return inside a line";
  }
  if (byte == '\n') return "a line that does not end with CR LF";
  switch (m_state) {
    case State::kStart:
      // Callers may send an empty line before a request.
      if (byte == '\r') return EndLine(State::kStart);
      m_state = State::kRequestLine;
      return ReadRequestLine(byte);
    case State::kRequestLine:
      return ReadRequestLine(byte);
    case State::kLineStart:
      if (byte == '\r') return EndLine(State::kEnd);
      if (byte == ' ' || byte == '\t') return "a folded header line";
      if (byte == ':') return "a header without a name";
      m_state = State::kName;
      [[fallthrough]];
    case State::kName:
      if (byte == ':') {
        m_state = State::kValue;
        return nullptr;
      }
      if (byte == ' ' || byte == '\t') return "a space in a header name";
      return IsTokenByte(byte) ? nullptr : "a header name is not a token";
    case State::kValue:
      if (byte == '\r') return EndLine(State::kLineStart);
      return IsControl(byte) ? "a control character in a header" : nullptr;
    case State::kEnd:
      break;
  }
  return nullptr;
}

const char* HeadCheck::ReadRequestLine(char byte) {
  constexpr size_t kSpaces = 2;
  if (byte == '\r') {
    if (m_spaces != kSpaces) return "the request line has no HTTP version";
    return EndLine(State::kLineStart);
  }
  if (byte == ' ') {
    return ++m_spaces > kSpaces ? "a space too many in the request line"
                                : nullptr;
  }
  return IsVisible(byte) ? nullptr
                         : "a byte in the request line is not printable ASCII";
}

const char* HeadCheck::EndLine(State next) {
  m_expects_line_feed = true;
  m_state = next;
  return nullptr;
}

std::optional<Rejection> CheckHead(const RequestHead& head) {
  if (head.major_version != 1) {
    return Rejection{kVersionNotSupported, "the HTTP version is not supported"};
  }
  if (head.method == "CONNECT") {
    return Rejection{kNotImplemented, "the method is not supported"};
  }
  for (const auto check : {&CheckTarget, &CheckHost, &CheckTransferEncoding}) {
    if (const char* reason = check(head)) return Rejection{kBadRequest, reason};
  }
  return std::nullopt;
}

std::optional<AbsoluteTarget> SplitAbsoluteTarget(std::string_view target) {
  const size_t end = target.find(kSchemeEnd);
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view scheme = target.substr(0, end);
  if (!IsSameText(scheme, "http") && !IsSameText(scheme, "https")) {
    return std::nullopt;
  }
  target.remove_prefix(end + kSchemeEnd.size());
  const size_t path = std::min(target.find_first_of("/?"), target.size());
  AbsoluteTarget parts;
  parts.authority = target.substr(0, path);
  parts.target = target.substr(path);
  if (!parts.target.starts_with('/')) parts.target.insert(0, 1, '/');
  return parts;
}

}  // namespace peridotshelf::http::detail
