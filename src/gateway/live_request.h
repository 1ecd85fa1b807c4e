/// One request from its arrival to its final answer.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peridotshelf/gateway/messages.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/routing/configuration.h"

namespace peridotshelf::gateway {

/// One try at one engine.
struct Attempt {
  /// Tells callbacks of this try from those of earlier ones.
  uint64_t number = 0;
  std::string engine_key;
  std::string engine_id;
  std::string address;
  /// Engines that read parts of the prompt, by key.
  std::vector<std::string> helper_keys;
  std::vector<HelperRef> helpers;
  /// Empty if no memory is reserved.
  std::string reservation;
  std::optional<http::Client::CallId> call;
  TimePoint sent_at{};
  double predicted_first_ms = 0;
  /// The same if no other reading comes to its engines meanwhile.
  double undisturbed_first_ms = 0;
  double predicted_write_ms = 0;
  std::optional<AnswerHead> head;
  /// An answer that is collected whole.
  std::string body;
  EventSplitter events;
  bool got_event = false;
  TimePoint last_progress{};
  TimePoint last_event_at{};
};

/// All that is known of one request.
struct LiveRequest {
  uint64_t number = 0;
  CallerRequest request;
  http::ResponderPtr responder;
  std::shared_ptr<const routing::Configuration> configuration;
  const routing::Route* route = nullptr;
  std::string service;
  TeamId team;
  int32_t priority = 0;
  double value = 1;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  TimePoint arrived{};
  TimePoint deadline{};
  bool is_done = false;
  /// Engines that may have run it.
  int32_t runs = 0;
  /// Engines that it was sent to.
  int32_t sends = 0;
  std::vector<std::string> tried;
  std::optional<Attempt> attempt;
  /// The answer's head is with the caller.
  bool head_sent = false;
  /// From arrival to the first event; none before it.
  std::optional<double> first_event_ms;
  /// The same as predicted when the try that brought it was sent.
  double predicted_first_ms = 0;
  /// Between two events that the caller got.
  double longest_pause_ms = 0;
  /// The last event that the caller has.
  std::optional<int64_t> last_event;
  /// The last failure that an engine itself gave as its answer.
  std::optional<AnswerHead> engine_failure;
  std::string engine_failure_body;

  bool IsStream() const {
    return route->retry_safety == routing::RetrySafety::kStream;
  }
};

using LiveRequestPtr = std::shared_ptr<LiveRequest>;

}  // namespace peridotshelf::gateway
