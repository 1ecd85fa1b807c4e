#include "entry/completion_reader.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace peridotshelf::entry {
namespace {

using nlohmann::json;

constexpr int64_t kMaxTokensLimit = 1'000'000;
constexpr uint64_t kMaxTokenId = INT32_MAX;
constexpr int64_t kBytesPerToken = 4;
constexpr size_t kMaxModelBytes = 256;
constexpr int kMaxDepth = 32;

/// The parser's input iterator. All copies share one position, so that the
/// handler can read and advance it.
class SharedPosition {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  explicit SharedPosition(const char** at) : m_at(at) {}
  reference operator*() const { return **m_at; }
  SharedPosition& operator++() {
    ++*m_at;
    return *this;
  }
  friend bool operator==(const SharedPosition& a, const SharedPosition& b) {
    return *a.m_at == *b.m_at;
  }

 private:
  const char** m_at;
};

bool IsSpace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

const char* SkipSpace(const char* at, const char* end) {
  while (at != end && IsSpace(*at)) ++at;
  return at;
}

/// Returns the end of the token ID at `at`, or null if there is none.
const char* SkipTokenId(const char* at, const char* end) {
  const char* begin = at;
  uint64_t value = 0;
  while (at != end && *at >= '0' && *at <= '9') {
    value = value * 10 + static_cast<uint64_t>(*at - '0');
    if (value > kMaxTokenId) return nullptr;
    ++at;
  }
  const auto digits = at - begin;
  const bool has_leading_zero = digits > 1 && *begin == '0';
  return digits == 0 || has_leading_zero ? nullptr : at;
}

/// The result of counting an array's tokens in a tight loop: the general parser
/// takes ten times as long and blocks its thread for other requests.
struct TokenCount {
  int64_t count = 0;
  /// The closing bracket; null if the array holds anything but token IDs.
  const char* end = nullptr;
};

/// Counts the tokens of an array; `at` is just after the opening bracket.
TokenCount CountTokens(const char* at, const char* end) {
  TokenCount tokens;
  while (true) {
    at = SkipTokenId(SkipSpace(at, end), end);
    if (at == nullptr) return {};
    ++tokens.count;
    at = SkipSpace(at, end);
    if (at == end) return {};
    if (*at == ']') {
      tokens.end = at;
      return tokens;
    }
    if (*at++ != ',') return {};
  }
}

/// The fields that are read; all others are ignored.
enum class FieldName { kOther, kModel, kPrompt, kMaxTokens, kStream };

FieldName ParseFieldName(std::string_view name) {
  if (name == "model") return FieldName::kModel;
  if (name == "prompt") return FieldName::kPrompt;
  if (name == "max_tokens") return FieldName::kMaxTokens;
  if (name == "stream") return FieldName::kStream;
  return FieldName::kOther;
}

/// Handles the parser's events. A method that returns false stops the parser
/// and has stored the reason in `m_error_detail`.
class BodyHandler : public nlohmann::json_sax<json> {
 public:
  /// `at` points to the parser's position in a body that ends at `end`.
  BodyHandler(const char** at, const char* end)
      : m_begin(*at), m_at(at), m_end(end) {}

  bool null() override { return HandleUnexpectedValue(); }
  bool boolean(bool value) override {
    if (m_depth != 1 || m_field != FieldName::kStream)
      return HandleUnexpectedValue();
    m_body.stream = value;
    return true;
  }
  bool number_integer(number_integer_t /*value*/) override {
    return HandleUnexpectedValue();
  }
  bool number_unsigned(number_unsigned_t value) override {
    if (m_field != FieldName::kMaxTokens || m_depth != 1) {
      return HandleUnexpectedValue();
    }
    if (value < 1 || value > kMaxTokensLimit) return HandleUnexpectedValue();
    m_body.max_tokens = static_cast<int64_t>(value);
    return true;
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return HandleUnexpectedValue();
  }
  bool string(string_t& value) override;
  bool binary(binary_t& /*value*/) override { return HandleUnexpectedValue(); }
  bool start_object(std::size_t /*size*/) override {
    return EnterContainer(true);
  }
  bool key(string_t& name) override;
  bool end_object() override { return LeaveContainer(); }
  bool start_array(std::size_t /*size*/) override {
    return EnterContainer(false);
  }
  bool end_array() override { return LeaveContainer(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*cause*/) override {
    return StopWithError("body: invalid JSON or UTF-8 at byte " +
                         std::to_string(*m_at - m_begin));
  }

  /// Returns the body. Fails with kInvalidField.
  Result<CompletionBody> TakeResult();

 private:
  bool StopWithError(std::string detail) {
    if (m_error_detail.empty()) m_error_detail = std::move(detail);
    return false;
  }
  /// Handles a value that none of the read fields allows here: ignores it in
  /// an unknown field, else stops with an error.
  bool HandleUnexpectedValue();
  bool EnterContainer(bool is_object);
  bool LeaveContainer();
  /// Sets the prompt to the text up to the parser's position.
  void SetPromptEnd() {
    m_body.prompt_json = {m_prompt_begin,
                          static_cast<size_t>(*m_at - m_prompt_begin)};
  }

  const char* m_begin;
  const char** m_at;
  const char* m_end;
  CompletionBody m_body;
  std::string m_error_detail;
  FieldName m_field = FieldName::kOther;
  int m_depth = 0;
  const char* m_prompt_begin = nullptr;
};

bool BodyHandler::HandleUnexpectedValue() {
  if (m_depth == 0) return StopWithError("body: must be a JSON object");
  switch (m_field) {
    case FieldName::kOther:
      return true;
    case FieldName::kModel:
      return StopWithError("model: must be a string");
    case FieldName::kPrompt:
      return StopWithError(
          "prompt: must be a string or an array of integers from 0 to " +
          std::to_string(kMaxTokenId));
    case FieldName::kMaxTokens:
      return StopWithError("max_tokens: must be an integer from 1 to " +
                           std::to_string(kMaxTokensLimit));
    case FieldName::kStream:
      return StopWithError("stream: must be true or false");
  }
  return true;
}

bool BodyHandler::string(string_t& value) {
  if (m_depth != 1) return HandleUnexpectedValue();
  if (m_field == FieldName::kModel) {
    if (value.empty() || value.size() > kMaxModelBytes) {
      return StopWithError("model: must have 1 to " +
                           std::to_string(kMaxModelBytes) + " bytes");
    }
    m_body.model = value;
    return true;
  }
  if (m_field != FieldName::kPrompt) return HandleUnexpectedValue();
  const auto bytes = static_cast<int64_t>(value.size());
  m_body.prompt_tokens = (bytes + kBytesPerToken - 1) / kBytesPerToken;
  SetPromptEnd();
  return true;
}

bool BodyHandler::key(string_t& name) {
  if (m_depth != 1) return true;
  m_field = ParseFieldName(name);
  if (m_field != FieldName::kPrompt) return true;
  if (m_prompt_begin != nullptr)
    return StopWithError("prompt: must be given only once");
  // The parser's position is just after the key's closing quote.
  m_prompt_begin = *m_at;
  m_prompt_begin = SkipSpace(m_prompt_begin, m_end);
  if (m_prompt_begin != m_end && *m_prompt_begin == ':') {
    m_prompt_begin = SkipSpace(m_prompt_begin + 1, m_end);
  }
  return true;
}

bool BodyHandler::EnterContainer(bool is_object) {
  if (m_depth == 0 && !is_object) return HandleUnexpectedValue();
  const bool is_prompt =
      m_field == FieldName::kPrompt && m_depth == 1 && !is_object;
  if (m_depth > 0 && m_field != FieldName::kOther && !is_prompt) {
    return HandleUnexpectedValue();
  }
  if (++m_depth > kMaxDepth) return StopWithError("body: is nested too deeply");
  if (!is_prompt) return true;
  // The parser continues at the closing bracket. If the array holds anything
  // but token IDs, the parser reads it again and reports the error.
  const TokenCount tokens = CountTokens(*m_at, m_end);
  m_body.prompt_tokens = tokens.count;
  if (tokens.end != nullptr) *m_at = tokens.end;
  return true;
}

bool BodyHandler::LeaveContainer() {
  --m_depth;
  if (m_depth == 1 && m_field == FieldName::kPrompt) SetPromptEnd();
  return true;
}

Result<CompletionBody> BodyHandler::TakeResult() {
  if (m_error_detail.empty() && m_body.model.empty())
    m_error_detail = "model: is required";
  if (m_error_detail.empty() && m_prompt_begin == nullptr) {
    m_error_detail = "prompt: is required";
  }
  if (m_error_detail.empty() && m_body.prompt_tokens == 0) {
    m_error_detail = "prompt: must not be empty";
  }
  if (!m_error_detail.empty())
    return Fail(ErrorCode::kInvalidField, std::move(m_error_detail));
  return std::move(m_body);
}

}  // namespace

Result<CompletionBody> ReadCompletionBody(std::string_view body) {
  const char* at = body.data();
  const char* end = at + body.size();
  BodyHandler handler(&at, end);
  json::sax_parse(SharedPosition(&at), SharedPosition(&end), &handler);
  return handler.TakeResult();
}

}  // namespace peridotshelf::entry
