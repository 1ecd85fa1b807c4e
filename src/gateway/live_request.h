/// State of one request from its arrival to its final response.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "failure.h"
#include "peridotshelf/gateway/messages.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/http/held_bytes.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/http/status.h"
#include "peridotshelf/quarantine/suspect_record.h"
#include "peridotshelf/routing/configuration.h"

namespace peridotshelf::gateway {

/// One attempt at one engine.
struct Attempt {
  /// Distinguishes callbacks of this attempt from those of earlier ones.
  uint64_t number = 0;
  std::string engine_key;
  std::string engine_id;
  /// Stated start of the engine's process as Unix time in ms; 0 if not stated.
  int64_t engine_started_unix_ms = 0;
  std::string address;
  /// Keys of the helper engines, which run prefill shards.
  std::vector<std::string> helper_keys;
  std::vector<HelperRef> helpers;
  /// Id of the memory reservation; empty if none.
  std::string reservation;
  std::optional<http::Client::CallId> call;
  TimePoint sent_at{};
  double predicted_first_event_ms = 0;
  /// `predicted_first_event_ms` if no other prefill starts at the engines in
  /// the meantime.
  double uncontended_first_event_ms = 0;
  double predicted_decode_ms = 0;
  /// Predicted time to the first event of a stream, or to the whole answer of a
  /// call; 0 if unknown.
  double predicted_answer_ms = 0;
  /// A second attempt, sent while the first one runs.
  bool is_hedge = false;
  /// It was sent at the expense of the retry budget.
  bool is_retry = false;
  std::optional<AnswerHead> head;
  std::string content_type;
  /// The answer states the length of its body.
  bool has_length = false;
  /// Number of the event after which the stream is to be continued, if any.
  std::optional<int64_t> resumed_after;
  /// Body of a response that is not streamed.
  std::string body;
  http::HeldBytesLease body_lease;
  EventSplitter events;
  /// It is sent once the engine has been asked which process answers.
  bool is_asking = false;
  /// The answer has ended, and whether it is whole is still to be found out.
  bool is_confirming = false;
  bool has_event = false;
  TimePoint first_event_at{};
  TimePoint last_progress{};
  /// Time since it was sent in which this process did not run.
  Duration own_pause{};
  TimePoint last_event_at{};

  bool IsAtEngine() const { return call || is_confirming; }
};

/// A hedge that has neither won nor lost nor failed yet.
struct OpenHedge {
  uint64_t number = 0;
  std::string engine_key;
  TimePoint sent_at{};
};

/// State of one request.
struct LiveRequest {
  uint64_t number = 0;
  CallerRequest request;
  http::ResponderPtr responder;
  std::shared_ptr<const routing::Configuration> configuration;
  const routing::Route* route = nullptr;
  std::string service;
  TeamId team;
  /// Only engines in these regions may receive the request; nullopt for any.
  std::optional<std::vector<std::string>> allowed_regions;
  int32_t priority = 0;
  double value = 1;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  TimePoint arrived{};
  TimePoint deadline{};
  bool is_done = false;
  /// What it has in common with others and may crash engines.
  std::vector<quarantine::Suspect> suspects;
  /// Whether a connection to an engine broke, which may have ended with it.
  bool has_broken = false;
  /// Number of attempts whose engine may have run the request.
  int32_t possible_runs = 0;
  /// Number of attempts sent to engines.
  int32_t sent_attempts = 0;
  /// Of these, the attempts whose engine was not at its address while another
  /// one was left to try.
  int32_t misdirected_attempts = 0;
  /// Whether the next attempt uses a retry that was claimed for it.
  bool has_retry_claim = false;
  std::vector<std::string> tried_engines;
  /// The attempt that is being processed.
  std::optional<Attempt> attempt;
  /// Set while a hedge and the attempt before it both run; `attempt` is then
  /// the one of the two that was processed last.
  std::optional<Attempt> other_attempt;
  std::optional<OpenHedge> hedge;
  /// Whether a hedge was sent. A request is hedged once.
  bool was_hedged = false;
  /// Whether it was counted that a hedge was due and not sent.
  bool is_denied_hedge_counted = false;
  /// Whether the response head was sent to the caller.
  bool is_head_sent = false;
  /// Status and content type of that head, if it began a stream.
  int stream_status = 0;
  std::string stream_content_type;
  /// Whether a stream broke off before bytes that its engine was to send, so
  /// that an event follows `last_event_number`.
  bool is_event_missing = false;
  /// Time from arrival to the first event; nullopt until then.
  std::optional<double> first_event_ms;
  /// Prediction of `first_event_ms` when the successful attempt was sent.
  double predicted_first_event_ms = 0;
  /// Longest gap between two events sent to the caller.
  double longest_pause_ms = 0;
  /// Number of the last event sent to the caller.
  std::optional<int64_t> last_event_number;
  /// Why the last attempt that ended failed, and when.
  std::optional<FailureCause> last_failure;
  TimePoint failed_at{};
  /// The last error response of an engine.
  std::optional<AnswerHead> engine_failure;
  std::string engine_failure_body;

  /// Returns whether an engine may run the request, or have run it, now.
  bool IsAtEngine() const {
    return (attempt && attempt->IsAtEngine()) ||
           (other_attempt && other_attempt->IsAtEngine());
  }
  /// Makes the running attempt `number` the one that is being processed.
  /// Returns whether there is one.
  bool Select(uint64_t attempt_number) {
    if (attempt && attempt->number == attempt_number) return true;
    if (!other_attempt || other_attempt->number != attempt_number) return false;
    std::swap(attempt, other_attempt);
    return true;
  }
  bool IsStream() const {
    return route->retry_safety == routing::RetrySafety::kStream;
  }
  /// Returns whether the body of an answer with `status` consists of events.
  bool HasEvents(int status) const {
    return IsStream() && http::IsSuccess(status) && request.method != "HEAD";
  }
};

using LiveRequestPtr = std::shared_ptr<LiveRequest>;

}  // namespace peridotshelf::gateway
