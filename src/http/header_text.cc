#include "header_text.h"

#include <algorithm>
#include <string>

#include "peridotshelf/base/text.h"

namespace peridotshelf::http {
namespace {

bool IsVisibleAscii(char byte) { return byte > ' ' && byte < 0x7F; }

bool IsTokenByte(char byte) {
  constexpr std::string_view kDelimiters = "\"(),/:;<=>?@[\\]{}";
  return IsVisibleAscii(byte) &&
         kDelimiters.find(byte) == std::string_view::npos;
}

bool IsValueByte(char byte) {
  const auto value = static_cast<unsigned char>(byte);
  return byte == '\t' || (value >= ' ' && value != 0x7F);
}

Error MakeUnsendable(std::string_view what, std::string_view text) {
  Error error;
  error.code = ErrorCode::kInvalidField;
  error.detail =
      std::string(what) + " that HTTP does not allow: " + EscapeBytes(text);
  error.not_run = true;
  return error;
}

}  // namespace

bool IsHeaderName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), &IsTokenByte);
}

bool IsHeaderValue(std::string_view value) {
  return std::all_of(value.begin(), value.end(), &IsValueByte);
}

bool IsRequestTarget(std::string_view target) {
  return std::all_of(target.begin(), target.end(), &IsVisibleAscii);
}

void HeadScanner::Feed(std::string_view bytes) {
  for (const char byte : bytes) {
    if (m_is_complete || m_is_malformed) return;
    if (m_is_after_return && byte != '\n') {
      m_is_malformed = true;
    } else if (byte == '\n') {
      EndLine();
    } else if (byte != '\r') {
      const bool is_space = byte == ' ' || byte == '\t';
      // A header that goes on in the next line (obs-fold).
      if (m_lines > 0 && m_line_bytes == 0 && is_space) m_is_malformed = true;
      if (m_lines == 0 && is_space) ++m_spaces_in_first_line;
      ++m_line_bytes;
    }
    m_is_after_return = byte == '\r';
  }
}

void HeadScanner::EndLine() {
  if (m_line_bytes == 0) {
    // Empty lines before a request are ignored (RFC 9112, 2.2).
    m_is_complete = m_lines > 0;
    return;
  }
  constexpr size_t kSpacesInRequestLine = 2;
  if (m_lines == 0 && m_spaces_in_first_line != kSpacesInRequestLine) {
    m_is_malformed = true;
  }
  ++m_lines;
  m_line_bytes = 0;
}

const char* FindMalformed(int http_major, const HeadScanner& scanner,
                          std::string_view target,
                          std::span<const Header> headers) {
  if (http_major != 1) return "the version is not HTTP/1";
  if (scanner.is_malformed()) return "a line of the head is malformed";
  if (!IsRequestTarget(target)) return "the target is not visible ASCII";
  for (const Header& header : headers) {
    if (!IsHeaderName(header.name)) return "a header's name is not a token";
    if (!IsHeaderValue(header.value)) {
      return "a header's value has a control character";
    }
  }
  return nullptr;
}

void TrimValues(std::vector<Header>& headers) {
  for (Header& header : headers) {
    std::string& value = header.value;
    while (value.ends_with(' ') || value.ends_with('\t')) value.pop_back();
  }
}

std::optional<Error> FindUnsendable(const ClientRequest& request) {
  if (!IsRequestTarget(request.url)) {
    return MakeUnsendable("a URL", request.url);
  }
  if (!IsRequestTarget(request.target)) {
    return MakeUnsendable("a target", request.target);
  }
  for (const Header& header : request.headers) {
    if (!IsHeaderName(header.name)) {
      return MakeUnsendable("a header's name", header.name);
    }
    if (!IsHeaderValue(header.value)) {
      return MakeUnsendable("a value of " + header.name, header.value);
    }
  }
  return std::nullopt;
}

}  // namespace peridotshelf::http
