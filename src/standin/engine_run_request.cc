#include "engine_run_request.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "peridotshelf/standin/engine_standin.h"

namespace peridotshelf::standin {
namespace {

using nlohmann::json;

constexpr int64_t kBytesPerToken = 4;

Result<uint64_t> HashPromptValue(const json& prompt) {
  if (prompt.is_string()) {
    const auto& text = prompt.get_ref<const std::string&>();
    return XXH64(text.data(), text.size(), 0);
  }
  if (!prompt.is_array()) return Fail(ErrorCode::kInvalidField, "prompt");
  std::string joined;
  for (const json& token : prompt) {
    if (!token.is_number_integer())
      return Fail(ErrorCode::kInvalidField, "prompt");
    if (!joined.empty()) joined += ',';
    joined += std::to_string(token.get<int64_t>());
  }
  return XXH64(joined.data(), joined.size(), 0);
}

int64_t CountTokens(const json& prompt) {
  if (prompt.is_array()) return static_cast<int64_t>(prompt.size());
  const auto bytes =
      static_cast<int64_t>(prompt.get_ref<const std::string&>().size());
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace

Result<RunRequest> ParseRunRequest(std::string_view body) {
  const json message = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!message.is_object() || !message.contains("prompt")) {
    return Fail(ErrorCode::kInvalidField, "body");
  }
  Result<uint64_t> hash = HashPromptValue(message["prompt"]);
  if (!hash) return tl::unexpected<Error>(hash.error());
  RunRequest run_request;
  run_request.attempt = message.value("attempt", std::string());
  run_request.epoch = message.value("epoch", int64_t{0});
  run_request.model = message.value("model", std::string());
  run_request.max_tokens = message.value("max_tokens", int64_t{1});
  run_request.prompt_hash = *hash;
  run_request.prompt_tokens = CountTokens(message["prompt"]);
  return run_request;
}

std::string MakeAnswerChunk(uint64_t prompt_hash, int64_t index) {
  char text[40];
  std::snprintf(text, sizeof(text), "%016llx-%lld ",
                static_cast<unsigned long long>(prompt_hash),  // NOLINT
                static_cast<long long>(index));                // NOLINT
  return text;
}

Result<uint64_t> HashPrompt(std::string_view prompt_json) {
  return HashPromptValue(
      json::parse(prompt_json, nullptr, /*allow_exceptions=*/false));
}

AttemptId ParseAttempt(const std::string& name) {
  const size_t dot = name.rfind('.');
  if (dot == std::string::npos) return {RequestId(name), 0};
  return {
      RequestId(name.substr(0, dot)),
      static_cast<int32_t>(std::strtol(name.c_str() + dot + 1, nullptr, 10))};
}

}  // namespace peridotshelf::standin
