/// The gateway's state and its steps, which stand in three files: a request's
/// arrival and end (gateway.cc), its placement (gateway_placement.cc) and one
/// try at an engine (gateway_attempt.cc).
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "failure.h"
#include "live_request.h"
#include "peridotshelf/gateway/gateway.h"
#include "peridotshelf/scheduling/engine_health.h"
#include "peridotshelf/scheduling/request_queue.h"
#include "peridotshelf/scheduling/stream_placement.h"
#include "reservations.h"

namespace peridotshelf::gateway {

inline double MillisBetween(TimePoint from, TimePoint to) {
  return scheduling::ToMillis(to - from);
}

inline Duration FromMillis(double millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

/// What is known of one start of one engine.
struct EngineState {
  scheduling::EngineHealth health;
  double call_ms = 0;
};

struct Gateway::Impl : std::enable_shared_from_this<Gateway::Impl> {
  Impl(io::IoThreads& io, http::Client& http_client, MessageCodec message_codec,
       discovery::EngineDirectory& directory,
       scheduling::ActiveRequestTable& loads, PeerExchange& exchange,
       metrics::Registry& registry, const GatewayOptions& given)
      : threads(io),
        client(http_client),
        codec(std::move(message_codec)),
        engines(directory),
        active_request_table(loads),
        peers(exchange),
        options(given),
        reservations(io, http_client, codec, given.reservation_ttl),
        finished(
            registry.AddCounter({"peridotshelf_requests_total",
                                 "Requests ended, by outcome.", "outcome"})),
        failed_attempts(registry.AddCounter(
            {"peridotshelf_failed_attempts_total",
             "Tries at engines that failed, by cause.", "cause"})),
        repeats_sent(registry.AddCounter(
            {"peridotshelf_repeats_total", "Sends after the first.", ""})),
        first_event_seconds(registry.AddHistogram(
            {"peridotshelf_time_to_first_token_seconds",
             "From arrival to the first event, by route.", "route"},
            metrics::GeometricBounds(0.005, 30, 1.5))),
        first_event_error(registry.AddHistogram(
            {"peridotshelf_first_event_prediction_ratio",
             "Time to a stream's first event over the time predicted.", ""},
            metrics::GeometricBounds(0.1, 20, 1.3))),
        random(std::random_device()()),
        preference_seed(random()) {}

  // Arrival and end.
  void Handle(const http::ServerRequest& in,
              const http::ResponderPtr& responder);
  /// Follows the request from now on, until its final answer.
  void TakeOn(const LiveRequestPtr& live);
  /// Answers what is not taken on.
  void Reject(const http::ResponderPtr& responder, const RequestId& id,
              int status, std::string_view reason);
  void Refuse(const LiveRequestPtr& live, Duration retry_after,
              std::string_view reason);
  void Finish(const LiveRequestPtr& live, int status, std::string_view outcome);
  void OnDeadline(const LiveRequestPtr& live);
  void OnDisconnect(const LiveRequestPtr& live);

  // Placement.
  void Begin(const LiveRequestPtr& live);
  bool TryStream(const LiveRequestPtr& live,
                 const scheduling::EngineModel& model);
  /// Where the stream would go now, of `candidates`; none if it should wait.
  static std::optional<scheduling::StreamPlan> PlanFor(
      const LiveRequest& live,
      std::span<const scheduling::EngineCandidate> candidates);
  /// Whether an engine that was not tried would take the request now.
  bool HasOtherPlace(const LiveRequest& live);
  bool TryCall(const LiveRequestPtr& live);
  void WaitOrRefuse(const LiveRequestPtr& live,
                    const scheduling::EngineModel& model);
  std::vector<const discovery::EngineRecord*> Usable(const LiveRequest& live);
  std::vector<const discovery::EngineRecord*> Untried(const LiveRequest& live);
  std::vector<scheduling::EngineCandidate> Candidates(
      const std::vector<const discovery::EngineRecord*>& records,
      const scheduling::EngineModel& model);
  void DrainQueue();
  /// Drains the queue soon, once for all changes until then.
  void DrainQueueSoon();

  // One try.
  void StartAttempt(const LiveRequestPtr& live,
                    const discovery::EngineRecord& engine);
  void Send(const LiveRequestPtr& live);
  void OnHead(const LiveRequestPtr& live, const http::ClientResponseHead& head);
  void OnData(const LiveRequestPtr& live, const std::string& data);
  void OnEvent(const LiveRequestPtr& live, std::string_view event);
  void NoteFirstEvent(LiveRequest& live, TimePoint now);
  void NotePause(LiveRequest& live, TimePoint now);
  void OnDone(const LiveRequestPtr& live, const Result<int>& outcome);
  void Complete(const LiveRequestPtr& live);
  void Fail(const LiveRequestPtr& live, FailureCause cause,
            std::string_view detail);
  void GiveUp(const LiveRequestPtr& live, std::string_view reason);
  void EndAttempt(LiveRequest& live);
  /// The helpers have read their parts, or need not read them any more.
  void RemoveParts(const Attempt& attempt);
  /// What placement is told of the request.
  static scheduling::StreamRequirements NeedsOf(const LiveRequest& live,
                                                TimePoint now);
  static bool HasWaitedLong(const LiveRequest& live, TimePoint now);
  void LogPlacement(const LiveRequest& live, const scheduling::StreamPlan& plan,
                    const scheduling::EngineCandidate& first);
  /// Reserves memory at the try's helpers, then sends it.
  void ReserveThenSend(const LiveRequestPtr& live, int64_t tokens);
  void PutWork(LiveRequest& live, const scheduling::StreamPlan& plan,
               const std::vector<scheduling::EngineCandidate>& candidates);

  void Tick();
  void EnsureTicking();
  /// Whether the request may be sent to another engine although the present one
  /// may have run it.
  bool MayRepeat(const LiveRequest& live, TimePoint now);
  bool IsSilent(const LiveRequest& live, TimePoint now);
  /// Whether other engines hold memory for a try whose own engine has been
  /// silent for so long that it is probably gone.
  static bool HoldsMemoryInVain(const LiveRequest& live, TimePoint now);
  Duration Spread(Duration wait);
  EngineState& StateOf(const std::string& key) { return engine_states[key]; }
  const scheduling::EngineModel* ModelOf(const LiveRequest& live);

  io::IoThreads& threads;
  http::Client& client;
  MessageCodec codec;
  discovery::EngineDirectory& engines;
  scheduling::ActiveRequestTable& active_request_table;
  PeerExchange& peers;
  GatewayOptions options;
  Reservations reservations;
  metrics::Family<metrics::Counter>& finished;
  metrics::Family<metrics::Counter>& failed_attempts;
  metrics::Family<metrics::Counter>& repeats_sent;
  metrics::Family<metrics::Histogram>& first_event_seconds;
  metrics::Family<metrics::Histogram>& first_event_error;
  std::mt19937_64 random;
  /// Makes this entry's preferences among engines its own.
  uint64_t preference_seed;
  std::shared_ptr<const routing::Configuration> configuration;
  std::unordered_map<std::string, scheduling::EngineModel> models;
  std::unordered_map<std::string, EngineState> engine_states;
  /// By address.
  std::unordered_map<std::string, TimePoint> memory_full_until;
  /// By service.
  std::unordered_map<std::string, scheduling::SlidingWindowRetryBudget> budgets;
  std::unordered_map<uint64_t, LiveRequestPtr> live_requests;
  scheduling::RequestQueue queue;
  uint64_t next_number = 1;
  bool refusing_streams = false;
  bool ticking = false;
  bool draining_queue = false;
  bool drain_due = false;
};

}  // namespace peridotshelf::gateway
