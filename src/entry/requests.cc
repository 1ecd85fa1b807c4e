#include "entry/requests.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace peridotshelf::entry {
namespace {

using nlohmann::json;

constexpr int64_t kDefaultMaxTokens = 16;
constexpr int64_t kMostMaxTokens = 1'000'000;
constexpr int64_t kBytesPerToken = 4;
constexpr std::string_view kServicesPath = "/services/";

Result<std::optional<int64_t>> ReadNumberHeader(
    const http::ServerRequest& request, const char* name) {
  const auto text = request.FindHeader(name);
  if (!text) return std::optional<int64_t>();
  int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
    return Fail(ErrorCode::kBadField, name);
  }
  return std::optional<int64_t>(value);
}

int64_t CountTokens(const json& prompt) {
  if (prompt.is_array()) return static_cast<int64_t>(prompt.size());
  const auto bytes =
      static_cast<int64_t>(prompt.get_ref<const std::string&>().size());
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

bool IsPrompt(const json& prompt) {
  if (prompt.is_string()) return true;
  if (!prompt.is_array() || prompt.empty()) return false;
  for (const json& token : prompt) {
    if (!token.is_number_unsigned()) return false;
  }
  return true;
}

Result<int64_t> ReadMaxTokens(const json& body) {
  if (!body.contains("max_tokens")) return kDefaultMaxTokens;
  const json& value = body["max_tokens"];
  if (!value.is_number_integer())
    return Fail(ErrorCode::kBadField, "max_tokens");
  const auto tokens = value.get<int64_t>();
  if (tokens < 1 || tokens > kMostMaxTokens) {
    return Fail(ErrorCode::kBadField, "max_tokens");
  }
  return tokens;
}

}  // namespace

Result<CallerTerms> ReadTerms(const http::ServerRequest& request,
                              const ReaderLimits& limits) {
  CallerTerms terms;
  terms.team =
      TeamId{request.FindHeader("Peridotshelf-Team").value_or("default")};
  const auto timeout = ReadNumberHeader(request, "Peridotshelf-Timeout-Ms");
  if (!timeout) return tl::unexpected<Error>(timeout.error());
  const auto issued_at = ReadNumberHeader(request, "Peridotshelf-Issued-At");
  if (!issued_at) return tl::unexpected<Error>(issued_at.error());
  terms.timeout = limits.default_timeout;
  if (*timeout) {
    const int64_t most = ToMilliseconds(limits.max_timeout);
    if (**timeout < 1 || **timeout > most) {
      return Fail(ErrorCode::kBadField, "Peridotshelf-Timeout-Ms");
    }
    terms.timeout = std::chrono::milliseconds(**timeout);
  }
  terms.issued_at_ms = *issued_at;
  terms.idempotency_key =
      std::string(request.FindHeader("Idempotency-Key").value_or(""));
  const auto flag = request.FindHeader("Peridotshelf-Unrepeatable");
  if (flag && *flag != "true" && *flag != "false") {
    return Fail(ErrorCode::kBadField, "Peridotshelf-Unrepeatable");
  }
  if (flag) terms.unrepeatable = *flag == "true";
  return terms;
}

Result<CompletionRequest> ReadCompletion(const http::ServerRequest& request,
                                         const ReaderLimits& limits) {
  Result<CallerTerms> terms = ReadTerms(request, limits);
  if (!terms) return tl::unexpected<Error>(terms.error());
  const json body =
      json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) return Fail(ErrorCode::kBadField, "body");
  if (!body.contains("model") || !body["model"].is_string()) {
    return Fail(ErrorCode::kBadField, "model");
  }
  if (!body.contains("prompt") || !IsPrompt(body["prompt"])) {
    return Fail(ErrorCode::kBadField, "prompt");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return Fail(ErrorCode::kBadField, "stream");
  }
  const Result<int64_t> max_tokens = ReadMaxTokens(body);
  if (!max_tokens) return tl::unexpected<Error>(max_tokens.error());
  CompletionRequest out;
  out.id = RequestId(MakeRandomId());
  out.terms = std::move(*terms);
  out.model = body["model"].get<std::string>();
  out.prompt_json = body["prompt"].dump();
  out.prompt_tokens = CountTokens(body["prompt"]);
  out.max_tokens = *max_tokens;
  out.stream = body.value("stream", false);
  return out;
}

Result<ServiceRequest> ReadServiceCall(const http::ServerRequest& request,
                                       const ReaderLimits& limits) {
  Result<CallerTerms> terms = ReadTerms(request, limits);
  if (!terms) return tl::unexpected<Error>(terms.error());
  const std::string_view rest =
      std::string_view{request.path}.substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  ServiceRequest out;
  out.id = RequestId(MakeRandomId());
  out.terms = std::move(*terms);
  out.service = std::string(rest.substr(0, slash));
  if (out.service.empty()) return Fail(ErrorCode::kUnknownService, "no name");
  out.target =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  if (!request.query.empty()) out.target += "?" + request.query;
  out.method = request.method;
  out.content_type =
      std::string(request.FindHeader("Content-Type").value_or(""));
  out.body = std::string(request.body);
  return out;
}

}  // namespace peridotshelf::entry
