#include "entry/requests.h"

#include <charconv>

#include "entry/completion_reader.h"

namespace peridotshelf::entry {
namespace {

constexpr std::string_view kDefaultTeam = "default";
constexpr size_t kMaxKeyBytes = 256;
constexpr size_t kMaxTeamBytes = 64;
constexpr std::string_view kServicesPath = "/services/";

Result<std::optional<int64_t>> ReadNumberHeader(
    const http::ServerRequest& request, const char* name) {
  const auto text = request.FindHeader(name);
  if (!text) return std::optional<int64_t>();
  int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
    return Fail(ErrorCode::kInvalidField,
                std::string(name) + ": must be an integer of at least 0");
  }
  return std::optional<int64_t>(value);
}

/// Whether one of the services that `is_meant` picks has the team.
template <class Predicate>
Result<void> CheckTeamOf(const control::Configuration& configuration,
                         const TeamId& team, Predicate is_meant) {
  if (team.value() == kDefaultTeam) return {};
  bool any_service = false;
  for (const control::ServiceConfig& service : configuration.services) {
    if (!is_meant(service)) continue;
    any_service = true;
    for (const control::TeamConfig& known : service.teams) {
      if (known.id == team) return {};
    }
  }
  if (!any_service) return {};
  return Fail(ErrorCode::kUnknownTeam, team.value());
}

}  // namespace

Result<CallerTerms> ReadTerms(const http::ServerRequest& request,
                              const ReaderLimits& limits) {
  CallerTerms terms;
  terms.team =
      TeamId{request.FindHeader("Peridotshelf-Team").value_or(kDefaultTeam)};
  if (terms.team.empty() || terms.team.value().size() > kMaxTeamBytes) {
    return Fail(ErrorCode::kInvalidField, "Peridotshelf-Team: must have 1 to " +
                                              std::to_string(kMaxTeamBytes) +
                                              " bytes");
  }
  const auto timeout = ReadNumberHeader(request, "Peridotshelf-Timeout-Ms");
  if (!timeout) return tl::unexpected<Error>(timeout.error());
  const auto issued_at = ReadNumberHeader(request, "Peridotshelf-Issued-At");
  if (!issued_at) return tl::unexpected<Error>(issued_at.error());
  terms.timeout = limits.default_timeout;
  if (*timeout) {
    const int64_t most = ToMilliseconds(limits.max_timeout);
    if (**timeout < 1 || **timeout > most) {
      return Fail(ErrorCode::kInvalidField,
                  "Peridotshelf-Timeout-Ms: must be an integer from 1 to " +
                      std::to_string(most));
    }
    terms.timeout = std::chrono::milliseconds(**timeout);
  }
  terms.issued_at_ms = *issued_at;
  terms.idempotency_key =
      std::string(request.FindHeader("Idempotency-Key").value_or(""));
  if (terms.idempotency_key.size() > kMaxKeyBytes) {
    return Fail(ErrorCode::kInvalidField,
                "Idempotency-Key: must have at most " +
                    std::to_string(kMaxKeyBytes) + " bytes");
  }
  const auto flag = request.FindHeader("Peridotshelf-Unrepeatable");
  if (flag && *flag != "true" && *flag != "false") {
    return Fail(ErrorCode::kInvalidField,
                "Peridotshelf-Unrepeatable: must be true or false");
  }
  if (flag) terms.unrepeatable = *flag == "true";
  return terms;
}

Result<CompletionRequest> ReadCompletion(const http::ServerRequest& request,
                                         const ReaderLimits& limits) {
  Result<CallerTerms> terms = ReadTerms(request, limits);
  if (!terms) return tl::unexpected<Error>(terms.error());
  Result<CompletionBody> body = ReadCompletionBody(request.body);
  if (!body) return tl::unexpected<Error>(body.error());
  CompletionRequest out;
  out.id = RequestId(MakeRandomId());
  out.terms = std::move(*terms);
  out.model = std::move(body->model);
  out.prompt_json = body->prompt_json;
  out.prompt_owner = request.owner;
  out.prompt_tokens = body->prompt_tokens;
  out.max_tokens = body->max_tokens;
  out.stream = body->stream;
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

Result<void> CheckTeam(const control::Configuration& configuration,
                       const CompletionRequest& request) {
  return CheckTeamOf(configuration, request.terms.team,
                     [&request](const control::ServiceConfig& service) {
                       return service.kind ==
                                  control::ServiceKind::kCompletions &&
                              service.model == request.model;
                     });
}

Result<void> CheckTeam(const control::Configuration& configuration,
                       const ServiceRequest& request) {
  return CheckTeamOf(configuration, request.terms.team,
                     [&request](const control::ServiceConfig& service) {
                       return service.kind == control::ServiceKind::kPlain &&
                              service.name == request.service;
                     });
}

}  // namespace peridotshelf::entry
