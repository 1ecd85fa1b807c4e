#include "entry/completion_reader.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace peridotshelf::entry {
namespace {

using nlohmann::json;

constexpr int64_t kMostMaxTokens = 1'000'000;
constexpr uint64_t kMaxTokenNumber = INT32_MAX;
constexpr int64_t kBytesPerToken = 4;
constexpr size_t kMaxModelBytes = 256;
constexpr int kMaxDepth = 32;

/// Where the parser stands. All copies share the place, so that the handler
/// can see it and move it on.
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

/// The end of the token number at `at`, or null if there is none.
const char* SkipToken(const char* at, const char* end) {
  const char* begin = at;
  uint64_t value = 0;
  while (at != end && *at >= '0' && *at <= '9') {
    value = value * 10 + static_cast<uint64_t>(*at - '0');
    if (value > kMaxTokenNumber) return nullptr;
    ++at;
  }
  const auto digits = at - begin;
  const bool has_leading_zero = digits > 1 && *begin == '0';
  return digits == 0 || has_leading_zero ? nullptr : at;
}

/// The tokens of an array, counted in a tight loop: the general parser takes
/// ten times as long, during which its thread serves no one else.
struct TokenRun {
  int64_t count = 0;
  /// The closing bracket; null unless all before it are token numbers.
  const char* end = nullptr;
};

/// Reads from behind an opening bracket on.
TokenRun CountTokens(const char* at, const char* end) {
  TokenRun run;
  while (true) {
    at = SkipToken(SkipSpace(at, end), end);
    if (at == nullptr) return {};
    ++run.count;
    at = SkipSpace(at, end);
    if (at == end) return {};
    if (*at == ']') {
      run.end = at;
      return run;
    }
    if (*at++ != ',') return {};
  }
}

/// The fields that are read; all others are passed over.
enum class FieldName { kOther, kModel, kPrompt, kMaxTokens, kStream };

FieldName ParseFieldName(std::string_view name) {
  if (name == "model") return FieldName::kModel;
  if (name == "prompt") return FieldName::kPrompt;
  if (name == "max_tokens") return FieldName::kMaxTokens;
  if (name == "stream") return FieldName::kStream;
  return FieldName::kOther;
}

/// Receives the parser's events. A method that returns false stops it, with
/// the reason in `error`.
class BodyHandler : public nlohmann::json_sax<json> {
 public:
  /// `at` is the parser's place in a body that ends at `end`.
  BodyHandler(const char** at, const char* end)
      : m_begin(*at), m_at(at), m_end(end) {}

  bool null() override { return TakeWrongType(); }
  bool boolean(bool value) override {
    if (m_depth != 1 || m_field != FieldName::kStream) return TakeWrongType();
    m_body.stream = value;
    return true;
  }
  bool number_integer(number_integer_t /*value*/) override {
    return TakeWrongType();
  }
  bool number_unsigned(number_unsigned_t value) override {
    if (m_field != FieldName::kMaxTokens || m_depth != 1) {
      return TakeWrongType();
    }
    if (value < 1 || value > kMostMaxTokens) return TakeWrongType();
    m_body.max_tokens = static_cast<int64_t>(value);
    return true;
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return TakeWrongType();
  }
  bool string(string_t& value) override;
  bool binary(binary_t& /*value*/) override { return TakeWrongType(); }
  bool start_object(std::size_t /*size*/) override { return Open(true); }
  bool key(string_t& name) override;
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*size*/) override { return Open(false); }
  bool end_array() override { return Close(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*cause*/) override {
    return Stop("body: not valid JSON in UTF-8 at byte " +
                std::to_string(*m_at - m_begin));
  }

  /// The body as read, or what was wrong.
  Result<CompletionBody> Take();

 private:
  bool Stop(std::string detail) {
    if (m_fault.empty()) m_fault = std::move(detail);
    return false;
  }
  /// A value that no known field allows at this place.
  bool TakeWrongType();
  bool Open(bool is_object);
  bool Close();
  /// The prompt's value ended at the parser's place.
  void EndPrompt() {
    m_body.prompt_json = {m_prompt_begin,
                          static_cast<size_t>(*m_at - m_prompt_begin)};
  }

  const char* m_begin;
  const char** m_at;
  const char* m_end;
  CompletionBody m_body;
  std::string m_fault;
  FieldName m_field = FieldName::kOther;
  int m_depth = 0;
  const char* m_prompt_begin = nullptr;
};

bool BodyHandler::TakeWrongType() {
  if (m_depth == 0) return Stop("body: must be a JSON object");
  switch (m_field) {
    case FieldName::kOther:
      return true;
    case FieldName::kModel:
      return Stop("model: must be a string");
    case FieldName::kPrompt:
      return Stop(
          "prompt: must be a string or an array of integers from 0 to " +
          std::to_string(kMaxTokenNumber));
    case FieldName::kMaxTokens:
      return Stop("max_tokens: must be an integer from 1 to " +
                  std::to_string(kMostMaxTokens));
    case FieldName::kStream:
      return Stop("stream: must be true or false");
  }
  return true;
}

bool BodyHandler::string(string_t& value) {
  if (m_depth != 1) return TakeWrongType();
  if (m_field == FieldName::kModel) {
    if (value.empty() || value.size() > kMaxModelBytes) {
      return Stop("model: must have 1 to " + std::to_string(kMaxModelBytes) +
                  " bytes");
    }
    m_body.model = value;
    return true;
  }
  if (m_field != FieldName::kPrompt) return TakeWrongType();
  const auto bytes = static_cast<int64_t>(value.size());
  m_body.prompt_tokens = (bytes + kBytesPerToken - 1) / kBytesPerToken;
  EndPrompt();
  return true;
}

bool BodyHandler::key(string_t& name) {
  if (m_depth != 1) return true;
  m_field = ParseFieldName(name);
  if (m_field != FieldName::kPrompt) return true;
  if (m_prompt_begin != nullptr) return Stop("prompt: is given twice");
  // The parser stands behind the key's closing quote.
  m_prompt_begin = *m_at;
  m_prompt_begin = SkipSpace(m_prompt_begin, m_end);
  if (m_prompt_begin != m_end && *m_prompt_begin == ':') {
    m_prompt_begin = SkipSpace(m_prompt_begin + 1, m_end);
  }
  return true;
}

bool BodyHandler::Open(bool is_object) {
  if (m_depth == 0 && !is_object) return TakeWrongType();
  const bool is_prompt =
      m_field == FieldName::kPrompt && m_depth == 1 && !is_object;
  if (m_depth > 0 && m_field != FieldName::kOther && !is_prompt) {
    return TakeWrongType();
  }
  if (++m_depth > kMaxDepth) return Stop("body: is nested too deeply");
  if (!is_prompt) return true;
  // The parser goes on at the closing bracket, or, where something else than
  // tokens was found, finds it too and tells of it.
  const TokenRun run = CountTokens(*m_at, m_end);
  m_body.prompt_tokens = run.count;
  if (run.end != nullptr) *m_at = run.end;
  return true;
}

bool BodyHandler::Close() {
  --m_depth;
  if (m_depth == 1 && m_field == FieldName::kPrompt) EndPrompt();
  return true;
}

Result<CompletionBody> BodyHandler::Take() {
  if (m_fault.empty() && m_body.model.empty()) m_fault = "model: is required";
  if (m_fault.empty() && m_prompt_begin == nullptr) {
    m_fault = "prompt: is required";
  }
  if (m_fault.empty() && m_body.prompt_tokens == 0) {
    m_fault = "prompt: must not be empty";
  }
  if (!m_fault.empty())
    return Fail(ErrorCode::kInvalidField, std::move(m_fault));
  return std::move(m_body);
}

}  // namespace

Result<CompletionBody> ReadCompletionBody(std::string_view body) {
  const char* at = body.data();
  const char* end = at + body.size();
  BodyHandler handler(&at, end);
  json::sax_parse(SharedPosition(&at), SharedPosition(&end), &handler);
  return handler.Take();
}

}  // namespace peridotshelf::entry
