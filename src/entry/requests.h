/// Typed requests of callers, and readers of them from HTTP.
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

/// The options that a caller sets in the headers of any request.
struct CallerOptions {
  TeamId team;
  /// The caller timeout, counted from the arrival of the request.
  Duration timeout{};
  std::string idempotency_key;
  /// When the caller issued the request, in milliseconds since the Unix epoch
  /// by its clock; empty if not given.
  std::optional<int64_t> issued_at_ms;
  /// Whether the request may run at most once; empty if not given.
  std::optional<bool> unrepeatable;
};

/// A prompt to be completed.
struct CompletionRequest {
  RequestId id;
  CallerOptions options;
  std::string model;
  /// The prompt's JSON value: a string or an array of token IDs. Valid while
  /// `prompt_owner` exists; not copied, since it may be large.
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
  CallerOptions options;
  std::string service;
  std::string method;
  /// Path and query relative to the service's root, beginning with '/'.
  std::string target;
  std::string content_type;
  std::string body;
};

/// The summary of a completed answer.
struct AnswerSummary {
  int64_t chunks = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  int http_status = 200;
  std::string content_type;
};

/// Callbacks for one answer: any number of `on_chunk` calls, then exactly one
/// of `on_finished` and `on_failed`.
struct AnswerCallbacks {
  std::function<void(std::string_view)> on_chunk;
  std::function<void(const AnswerSummary&)> on_finished;
  std::function<void(const Error&)> on_failed;
  /// Called last, with the decision trace of the request; may be empty.
  std::function<void(const attempts::RequestTrace&)> on_trace;
};

/// The default and the upper bound of the caller timeout.
struct ReaderLimits {
  Duration default_timeout{};
  Duration max_timeout{};
};

/// Reads the headers. Fails with kInvalidField, naming the header.
Result<CallerOptions> ReadCallerOptions(const http::ServerRequest& request,
                                        const ReaderLimits& limits);

/// Reads POST /v1/completions. Fails with kInvalidField, naming the header or
/// the field.
Result<CompletionRequest> ReadCompletion(const http::ServerRequest& request,
                                         const ReaderLimits& limits);

/// Reads a call to a path under /services/. Fails with kInvalidField, naming
/// the header, or with kUnknownService if the path names no service.
Result<ServiceRequest> ReadServiceCall(const http::ServerRequest& request,
                                       const ReaderLimits& limits);

/// Checks that the caller's team may use the service of the model, or the plain
/// service. Fails with kUnknownTeam. Requests without a team and requests for
/// services that are not configured pass; placement handles them.
Result<void> CheckTeam(const control::Configuration& configuration,
                       const CompletionRequest& request);
Result<void> CheckTeam(const control::Configuration& configuration,
                       const ServiceRequest& request);

}  // namespace peridotshelf::entry
