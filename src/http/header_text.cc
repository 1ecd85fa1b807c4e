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
