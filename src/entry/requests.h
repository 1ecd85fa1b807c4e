/// Callers' requests as typed data, and how they are read from HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "peridotshelf/attempts/trace.h"
#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::entry {

/// What every request carries in its headers.
struct CallerTerms {
  TeamId team;
  /// The caller's window, from arrival on.
  Duration timeout{};
  std::string idempotency_key;
  /// Milliseconds since the epoch by the caller's clock, if it said.
  std::optional<int64_t> issued_at_ms;
  /// Whether the caller said that the request may run at most once.
  std::optional<bool> unrepeatable;
};

/// A prompt to be completed.
struct CompletionRequest {
  RequestId id;
  CallerTerms terms;
  std::string model;
  /// The prompt's JSON value: a string or an array of token numbers.
  /// Valid as long as `prompt_owner` lives; not copied, since it may be large.
  std::string_view prompt_json;
  std::shared_ptr<const void> prompt_owner;
  /// Exact for token arrays, estimated for text.
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  bool stream = false;
};

/// A call to a plain service.
struct ServiceRequest {
  RequestId id;
  CallerTerms terms;
  std::string service;
  std::string method;
  /// Path and query below the service's own root, beginning with '/'.
  std::string target;
  std::string content_type;
  std::string body;
};

/// What is known at the end of a whole answer.
struct AnswerSummary {
  int64_t chunks = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  int http_status = 200;
  std::string content_type;
};

/// Where an answer goes: any number of chunks, then exactly one of
/// `on_finished` and `on_failed`.
struct AnswerCallbacks {
  std::function<void(std::string_view)> on_chunk;
  std::function<void(const AnswerSummary&)> on_finished;
  std::function<void(const Error&)> on_failed;
  /// Called last, with all that was decided; may be empty.
  std::function<void(const attempts::RequestTrace&)> on_trace;
};

/// Limits that the reader applies.
struct ReaderLimits {
  Duration default_timeout{};
  Duration max_timeout{};
};

/// Reads the headers, or kBadField naming the header.
Result<CallerTerms> ReadTerms(const http::ServerRequest& request,
                              const ReaderLimits& limits);

/// Reads POST /v1/completions, or kBadField naming the field.
Result<CompletionRequest> ReadCompletion(const http::ServerRequest& request,
                                         const ReaderLimits& limits);

/// Reads a call below /services/, or kUnknownService.
Result<ServiceRequest> ReadServiceCall(const http::ServerRequest& request,
                                       const ReaderLimits& limits);

/// Whether the team that the caller named may use the service of the model, or
/// the plain service; kUnknownTeam if not. Requests that name no team, and
/// services that are not configured, pass: placement judges them.
Result<void> CheckTeam(const control::Configuration& configuration,
                       const CompletionRequest& request);
Result<void> CheckTeam(const control::Configuration& configuration,
                       const ServiceRequest& request);

}  // namespace peridotshelf::entry
