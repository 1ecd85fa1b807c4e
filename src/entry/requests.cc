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
                std::string(name) + ": must be a non-negative integer");
  }
  return std::optional<int64_t>(value);
}

/// Checks that one of the services for which `is_requested` returns true lists
/// the team.
template <class Predicate>
Result<void> CheckTeamOfServices(const control::Configuration& configuration,
                                 const TeamId& team, Predicate is_requested) {
  if (team.value() == kDefaultTeam) return {};
  bool has_service = false;
  for (const control::ServiceConfig& service : configuration.services) {
    if (!is_requested(service)) continue;
    has_service = true;
    for (const control::TeamConfig& team_config : service.teams) {
      if (team_config.id == team) return {};
    }
  }
  if (!has_service) return {};
  return Fail(ErrorCode::kUnknownTeam, team.value());
}

}  // namespace

Result<CallerOptions> ReadCallerOptions(const http::ServerRequest& request,
                                        const ReaderLimits& limits) {
  CallerOptions options;
  options.team =
      TeamId{request.FindHeader("Peridotshelf-Team").value_or(kDefaultTeam)};
  if (options.team.empty() || options.team.value().size() > kMaxTeamBytes) {
    return Fail(ErrorCode::kInvalidField, "Peridotshelf-Team: must have 1 to " +
                                              std::to_string(kMaxTeamBytes) +
                                              " bytes");
  }
  const auto timeout = ReadNumberHeader(request, "Peridotshelf-Timeout-Ms");
  if (!timeout) return tl::unexpected<Error>(timeout.error());
  const auto issued_at = ReadNumberHeader(request, "Peridotshelf-Issued-At");
  if (!issued_at) return tl::unexpected<Error>(issued_at.error());
  options.timeout = limits.default_timeout;
  if (*timeout) {
    const int64_t max_ms = ToMilliseconds(limits.max_timeout);
    if (**timeout < 1 || **timeout > max_ms) {
      return Fail(ErrorCode::kInvalidField,
                  "Peridotshelf-Timeout-Ms: must be an integer from 1 to " +
                      std::to_string(max_ms));
    }
    options.timeout = std::chrono::milliseconds(**timeout);
  }
  options.issued_at_ms = *issued_at;
  options.idempotency_key =
      std::string(request.FindHeader("Idempotency-Key").value_or(""));
  if (options.idempotency_key.size() > kMaxKeyBytes) {
    return Fail(ErrorCode::kInvalidField,
                "Idempotency-Key: must have at most " +
                    std::to_string(kMaxKeyBytes) + " bytes");
  }
  const auto unrepeatable_header =
      request.FindHeader("Peridotshelf-Unrepeatable");
  if (unrepeatable_header && *unrepeatable_header != "true" &&
      *unrepeatable_header != "false") {
    return Fail(ErrorCode::kInvalidField,
                "Peridotshelf-Unrepeatable: must be true or false");
  }
  if (unrepeatable_header)
    options.unrepeatable = *unrepeatable_header == "true";
  return options;
}

Result<CompletionRequest> ReadCompletion(const http::ServerRequest& request,
                                         const ReaderLimits& limits) {
  Result<CallerOptions> options = ReadCallerOptions(request, limits);
  if (!options) return tl::unexpected<Error>(options.error());
  Result<CompletionBody> body = ReadCompletionBody(request.body);
  if (!body) return tl::unexpected<Error>(body.error());
  CompletionRequest out;
  out.id = RequestId(MakeRandomId());
  out.options = std::move(*options);
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
  Result<CallerOptions> options = ReadCallerOptions(request, limits);
  if (!options) return tl::unexpected<Error>(options.error());
  const std::string_view service_path =
      std::string_view{request.path}.substr(kServicesPath.size());
  const size_t slash = service_path.find('/');
  ServiceRequest out;
  out.id = RequestId(MakeRandomId());
  out.options = std::move(*options);
  out.service = std::string(service_path.substr(0, slash));
  if (out.service.empty())
    return Fail(ErrorCode::kUnknownService, "no service name in the path");
  out.target = slash == std::string_view::npos
                   ? "/"
                   : std::string(service_path.substr(slash));
  if (!request.query.empty()) out.target += "?" + request.query;
  out.method = request.method;
  out.content_type =
      std::string(request.FindHeader("Content-Type").value_or(""));
  out.body = std::string(request.body);
  return out;
}

Result<void> CheckTeam(const control::Configuration& configuration,
                       const CompletionRequest& request) {
  return CheckTeamOfServices(configuration, request.options.team,
                             [&request](const control::ServiceConfig& service) {
                               return service.kind ==
                                          control::ServiceKind::kCompletions &&
                                      service.model == request.model;
                             });
}

Result<void> CheckTeam(const control::Configuration& configuration,
                       const ServiceRequest& request) {
  return CheckTeamOfServices(configuration, request.options.team,
                             [&request](const control::ServiceConfig& service) {
                               return service.kind ==
                                          control::ServiceKind::kPlain &&
                                      service.name == request.service;
                             });
}

}  // namespace peridotshelf::entry
