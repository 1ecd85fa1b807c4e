/// State and operations of the gateway, implemented in fifteen files: arrival
/// and end of a request (gateway.cc), whole answers (gateway_answers.cc),
/// placement of streams (gateway_placement.cc) and of calls (gateway_calls.cc),
/// the queue (gateway_queue.cc), one attempt at an engine (gateway_attempt.cc),
/// further attempts (gateway_retries.cc), second attempts of slow requests
/// (gateway_hedges.cc), attempts with progress (gateway_progress.cc) and
/// without (gateway_stalls.cc), engines that limit their requests
/// (gateway_limits.cc), that are cold (gateway_cold_engines.cc), that leave,
/// ask for a pause or may not receive a request (gateway_engines.cc) and that
/// crash (gateway_crashes.cc), and answers that end with their connection
/// (gateway_answer_end.cc).
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine_probe.h"
#include "engine_queries.h"
#include "failure.h"
#include "hedge_plan.h"
#include "live_request.h"
#include "peridotshelf/events/guard.h"
#include "peridotshelf/gateway/gateway.h"
#include "peridotshelf/quarantine/crash_quarantine.h"
#include "peridotshelf/scheduling/call_times.h"
#include "peridotshelf/scheduling/engine_health.h"
#include "peridotshelf/scheduling/hedging.h"
#include "peridotshelf/scheduling/request_queue.h"
#include "peridotshelf/scheduling/service_placement.h"
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

/// Returns the header that tells a caller after how many seconds to retry.
http::Header MakeRetryAfterHeader(Duration wait);

/// Joins `keys` by spaces, for a log line.
std::string JoinKeys(std::span<const std::string> keys);

/// State of one incarnation of an engine; a restarted engine gets a new state.
struct EngineState {
  scheduling::EngineHealth health;
  scheduling::CallTimes calls;
  /// The engine wants no requests from this entry until then.
  TimePoint paused_until{};
  /// When this entry learned that the engine is cold, and when the engine last
  /// answered it.
  TimePoint cold_since{};
  TimePoint answered_at{};
};

/// An attempt whose connection broke before its response was complete.
struct BrokenAttempt {
  RequestId request;
  std::vector<std::string> shared_prompt_parts;
  std::vector<quarantine::Suspect> suspects;
  bool had_event = false;
  /// It had not answered yet, or had only just begun to.
  bool may_be_cause = false;
  TimePoint sent_at{};
};

/// Attempts that broke at one engine.
struct BrokenAttempts {
  std::string service;
  TimePoint broken_at{};
  std::vector<BrokenAttempt> attempts;
};

struct Gateway::Impl : std::enable_shared_from_this<Gateway::Impl> {
  Impl(io::IoThreads& io, http::Client& http_client, MessageCodec message_codec,
       discovery::EngineDirectory& directory,
       scheduling::ActiveRequestTable& request_table, PeerExchange& exchange,
       metrics::Registry& registry, const GatewayOptions& gateway_options)
      : threads(io),
        client(http_client),
        codec(std::move(message_codec)),
        engines(directory),
        active_request_table(request_table),
        peers(exchange),
        options(gateway_options),
        hedging(gateway_options.hedging),
        rate_limits(std::make_shared<scheduling::EngineRateLimits>(
            std::random_device()())),
        cold_engines(std::make_shared<discovery::ColdEngines>()),
        crash_quarantine(std::make_shared<quarantine::CrashQuarantine>(
            quarantine::QuarantineOptions{})),
        reservations(
            io, http_client, codec, gateway_options.reservation_ttl,
            [this](const std::string& address, const AnswerHead& head) {
              const auto* engine = engines.FindReadyAt(address);
              if (engine != nullptr) NoteState(engine->Key(), head);
            }),
        finished(
            registry.AddCounter({"peridotshelf_requests_total",
                                 "Requests ended, by outcome.", "outcome"})),
        failed_attempts(registry.AddCounter(
            {"peridotshelf_failed_attempts_total",
             "Tries at engines that failed, by cause.", "cause"})),
        retries_sent(registry.AddCounter(
            {"peridotshelf_repeats_total", "Sends after the first.", ""})),
        denied_retries(registry.AddCounter(
            {"peridotshelf_retries_denied_total",
             "Failed requests that the limit on retries did not let go on.",
             ""})),
        engine_crashes(registry.AddCounter(
            {"peridotshelf_engine_crashes_total",
             "Engines that ended while they ran requests of this entry.", ""})),
        ended_answers(registry.AddCounter(
            {"peridotshelf_answer_end_checks_total",
             "Answers that ended with their connection, by what was found.",
             "verdict"})),
        first_event_seconds(registry.AddHistogram(
            {"peridotshelf_time_to_first_token_seconds",
             "From arrival to the first event, by route.", "route"},
            metrics::GeometricBounds(0.005, 30, 1.5))),
        first_event_ratio(registry.AddHistogram(
            {"peridotshelf_first_event_prediction_ratio",
             "Time to a stream's first event over the time predicted.", ""},
            metrics::GeometricBounds(0.1, 20, 1.3))),
        hedges(hedging.IsEnabled()
                   ? &registry.AddCounter({"peridotshelf_hedges_total",
                                           "Second attempts of slow requests, "
                                           "and those not sent, by outcome.",
                                           "outcome"})
                   : nullptr),
        random(std::random_device()()),
        preference_seed(random()),
        engine_queries(io, http_client, codec) {}

  // Arrival and end.
  void Handle(const http::ServerRequest& in,
              const http::ResponderPtr& responder);
  /// Registers the request until its final response.
  void Accept(const LiveRequestPtr& live);
  /// Responds to a request that was not accepted.
  void Reject(const http::ResponderPtr& responder, const RequestId& id,
              int status, std::string_view reason);
  void Refuse(const LiveRequestPtr& live, Duration retry_after,
              std::string_view reason);
  void Finish(const LiveRequestPtr& live, int status, std::string_view outcome);
  void OnDeadline(const LiveRequestPtr& live);
  void OnDisconnect(const LiveRequestPtr& live);

  /// Runs work on one request. An exception ends that request only.
  template <class Work>
  void RunFor(const LiveRequestPtr& live, Work&& work) noexcept {
    if (events::RunGuarded("request", std::forward<Work>(work))) return;
    EndAfterException(live);
  }
  /// Ends a request in any state with 500, or cuts its stream.
  void EndAfterException(const LiveRequestPtr& live) noexcept;

  // Placement.
  void PlaceOrQueue(const LiveRequestPtr& live);
  bool TryStartStream(const LiveRequestPtr& live,
                      const scheduling::EngineModel& model);
  bool TryStartStreamOn(std::vector<const discovery::EngineRecord*>& records,
                        const LiveRequestPtr& live,
                        const scheduling::EngineModel& model);
  /// Sends the stream to the engines of `plan`; its attempt was started.
  void StartStream(const LiveRequestPtr& live,
                   const std::vector<const discovery::EngineRecord*>& records,
                   const std::vector<scheduling::EngineCandidate>& candidates,
                   const scheduling::StreamPlan& plan);
  /// Returns the plan to start the stream now on `candidates`; nullopt if it
  /// should wait.
  static std::optional<scheduling::StreamPlan> MakePlan(
      const LiveRequest& live,
      std::span<const scheduling::EngineCandidate> candidates);
  /// Returns whether an engine that was not tried yet can start the request
  /// now.
  bool CanMoveToAnotherEngine(const LiveRequest& live);
  bool TryStartCall(const LiveRequestPtr& live);
  /// Sends the call to `server`; its attempt was started.
  void StartCall(const LiveRequestPtr& live,
                 const scheduling::ServiceCandidate& server);
  /// Returns the predicted duration of one more call; 0 if unknown.
  static double PredictCall(const scheduling::ServiceCandidate& server);
  std::vector<scheduling::ServiceCandidate> MakeServiceCandidates(
      const std::vector<const discovery::EngineRecord*>& records);
  void QueueOrRefuse(const LiveRequestPtr& live,
                     const scheduling::EngineModel& model);
  std::vector<const discovery::EngineRecord*> FindUsableEngines(
      const LiveRequest& live);
  std::vector<const discovery::EngineRecord*> FindUntriedEngines(
      const LiveRequest& live);
  bool HasUntriedAvailableEngine(const LiveRequest& live);
  std::vector<scheduling::EngineCandidate> MakeCandidates(
      const std::vector<const discovery::EngineRecord*>& records,
      const scheduling::EngineModel& model);
  void DrainQueue();
  void DrainOnce();
  /// Starts a queued request or refuses it; returns whether it stays in the
  /// queue, since no engine can start it now.
  bool IsLeftInQueue(const LiveRequestPtr& live);
  /// Schedules one drain of the queue for all changes until then.
  void ScheduleQueueDrain();

  // Engines that limit their requests.
  /// Returns the engines of `records` that state no limit and are not cold and
  /// near their limit.
  std::vector<const discovery::EngineRecord*> RemoveLimited(
      const std::vector<const discovery::EngineRecord*>& records);
  /// Adds the engines of `usable` to `records` that state a limit and may
  /// receive a request now. Returns whether there are any.
  bool AddAdmitted(const std::vector<const discovery::EngineRecord*>& usable,
                   std::vector<const discovery::EngineRecord*>& records);
  /// Counts a request, or a part of one, that is sent to `engine`.
  void CountAgainstLimit(const std::string& engine);
  /// Applies the limit that an engine states in a response.
  void NoteLimit(const Attempt& attempt, const AnswerHead& head);
  void LogLimit(const std::string& engine, std::string_view source);
  /// Returns the time until the limits of `records`, which all have one, allow
  /// one request more than `ahead` of this entry.
  Duration PredictLimitWait(
      const std::vector<const discovery::EngineRecord*>& records,
      size_t ahead) const;
  /// Forgets the limits of engines that are gone.
  void ForgetGoneLimits();

  // Engines that are cold.
  void NoteRegistration(const discovery::EngineRecord& record,
                        std::optional<Duration> cold_left);
  /// Applies the registrations that were read before the first configuration,
  /// which states how long engines are cold after their start.
  void ApplyEarlyRegistrations();
  void ApplyRegistration(const discovery::EngineRecord& record,
                         discovery::RegistrationRead read);
  /// Applies what a peer knows about `engine`.
  void OnPeerCold(const std::string& engine);
  void LogCold(const std::string& engine);
  /// Limits the engine if it is cold and its service limits cold ones. Returns
  /// whether it does.
  bool ApplyColdLimit(const discovery::EngineRecord& record);
  void ApplyColdLimits();
  /// Returns whether a cold engine is a candidate; true for one that is not
  /// cold.
  bool IsColdCandidate(const std::string& engine, TimePoint now);
  /// Returns whether `engine`, which was chosen, may get a request now as far
  /// as it is cold.
  bool AdmitAtCold(const std::string& engine);
  /// Returns the best plan on `records` whose cold engines admit the request,
  /// with its `candidates`. Removes engines that do not from `records`.
  std::optional<scheduling::StreamPlan> PlanAdmitted(
      std::vector<const discovery::EngineRecord*>& records,
      const LiveRequest& live, const scheduling::EngineModel& model,
      std::vector<scheduling::EngineCandidate>& candidates);
  /// Removes the cold engines that state no limit.
  void RemoveCold(std::vector<const discovery::EngineRecord*>& records) const;

  // What engines say of themselves.
  /// Applies what `engine` says in an answer to this entry: that it leaves, or
  /// that it wants no requests from this entry for some time.
  void NoteState(const std::string& engine, const AnswerHead& head);
  void NoteLeaving(const std::string& engine);
  void NotePause(const std::string& engine, const AnswerHead& head);
  /// Returns the ready engines of the request's service that did not ask this
  /// entry for a pause.
  std::vector<const discovery::EngineRecord*> FindReadyEngines(
      const LiveRequest& live);
  /// Refuses `live` if its service has ready engines and all of them asked for
  /// a pause. Returns whether it was refused.
  bool RefuseIfAllPaused(const LiveRequestPtr& live);
  /// Returns the ready engines of the request's service that may receive it: in
  /// its allowed regions and outside evacuated failure domains.
  std::vector<const discovery::EngineRecord*> FindAllowedEngines(
      const LiveRequest& live) const;
  /// Returns why no engine may receive the request until evacuations or
  /// registrations change; nullopt if one may, or if the service has none.
  std::optional<std::string_view> FindExclusion(const LiveRequest& live) const;
  /// Refuses the queued requests that no engine may receive.
  void RefuseExcluded();
  /// Keeps requests from engines that said so to a peer.
  void OnPeerLeaving(std::span<const std::string> leaving);

  // Engines that crash.
  /// Finds out whether the engine ended with the connection of the current
  /// attempt, unless that was `found` already.
  void ProbeAfterBreak(LiveRequest& live,
                       std::optional<ProbeVerdict> found = std::nullopt);
  /// Reports a probed process that listens, or another one in its place.
  void FindReplacement(const EngineProcess& process, TimePoint sent_at);
  /// Returns whether the engine of the attempt should be running.
  bool ShouldRun(const LiveRequest& live) const;
  /// `verdict` is none if the engine was leaving and not probed.
  void OnProbed(const std::string& engine, std::optional<ProbeVerdict> verdict);
  void NoteCrash(const std::string& engine, const BrokenAttempts& broken);
  /// Logs the suspects of a crash with the most crashes.
  void LogCounts(const std::string& engine,
                 const std::vector<BrokenAttempt>& attempts);
  /// Sets what `live` has in common with others.
  static void SetSuspects(LiveRequest& live);
  /// Rejects `live` if it is quarantined. Returns whether it was rejected.
  bool RejectIfQuarantined(const LiveRequestPtr& live);
  void RejectQuarantined(const LiveRequestPtr& live, Duration time_left,
                         quarantine::SuspectId suspect);
  /// Ends the requests with suspects that are quarantined from now on.
  void OnQuarantine(std::span<const quarantine::SuspectId> suspects,
                    std::string_view source);
  void NoteCompleted(const LiveRequest& live);
  void ScheduleReview();

  // Answers that end with their connection.
  /// Records whether the service sends answers without length.
  void NoteFraming(const LiveRequest& live, const AnswerHead& head);
  bool MayHaveNoLength(const LiveRequest& live, TimePoint now) const;
  /// Returns whether the engine of the current attempt has to be asked which
  /// process answers before the request is sent, so that this can be compared
  /// after the answer.
  bool HasToAskFirst(const LiveRequest& live) const;
  void AskThenSend(const LiveRequestPtr& live);
  /// Keeps the connections for queries open while answers arrive that end with
  /// their connection.
  void KeepQueryConnections(TimePoint now);
  /// Finishes the answer of the current attempt if it is shown to be whole.
  /// Otherwise the attempt has failed.
  void CheckAnswerEnd(const LiveRequestPtr& live);
  void DecideAnswerEnd(const LiveRequestPtr& live, AnswerEnd end);
  /// Returns whether the engine has crashed since the request was sent.
  bool HasCrashed(const EngineProcess& process, AnswerEnd end) const;
  void NoteAnswerEnd(const LiveRequest& live, AnswerEnd end);
  /// Handles an answer that is whole.
  void FinishAnswer(const LiveRequestPtr& live);

  // One attempt.
  void StartAttempt(const LiveRequestPtr& live,
                    const discovery::EngineRecord& engine);
  /// Sends the request, after a query if one is needed.
  void Send(const LiveRequestPtr& live);
  void SendNow(const LiveRequestPtr& live);
  /// Logs that the request is sent again.
  void LogRetry(const LiveRequest& live, TimePoint now);
  scheduling::FleetRetryBudget& GetRetryBudget(const std::string& service);
  /// Claims a retry for the next attempt of a request that has arrived at an
  /// engine before. Returns false if the budget allows none.
  bool ClaimRetry(LiveRequest& live);
  /// Ends a request that would be retried if the budget allowed it.
  void DenyRetry(const LiveRequestPtr& live);
  /// Ends an attempt whose claimed retry has lapsed before it was sent.
  void DropLapsedRetry(const LiveRequestPtr& live);
  void OnHead(const LiveRequestPtr& live, const http::ClientResponseHead& head);
  void OnData(const LiveRequestPtr& live, const std::string& data);
  void OnEvent(const LiveRequestPtr& live, std::string_view event);
  void NoteFirstEvent(LiveRequest& live, TimePoint now);
  void NotePause(LiveRequest& live, TimePoint now);
  void OnDone(const LiveRequestPtr& live, const Result<int>& outcome);
  void Complete(const LiveRequestPtr& live);
  /// Ends the attempt and sends the request again if possible. `failed_engine`
  /// caused the failure; by default it is the primary engine.
  void Fail(const LiveRequestPtr& live, FailureCause cause,
            std::string_view detail, std::string_view failed_engine = {});
  void GiveUp(const LiveRequestPtr& live, std::string_view reason);
  /// Ends the current attempt. The other one of a hedged request takes its
  /// place.
  void EndAttempt(LiveRequest& live);
  /// Ends all attempts of the request.
  void EndAttempts(LiveRequest& live);
  /// Closes the connection of the attempt and gives back what it holds.
  void Release(const LiveRequest& live, const Attempt& attempt);
  /// Removes the prefill shards of the attempt from the active request table.
  void RemovePrefillShards(const Attempt& attempt);
  /// Returns the placement requirements of the request.
  static scheduling::StreamRequirements MakeRequirements(
      const LiveRequest& live, TimePoint now);
  static bool HasWaitedLong(const LiveRequest& live, TimePoint now);
  void LogPlacement(const LiveRequest& live, const scheduling::StreamPlan& plan,
                    const scheduling::EngineCandidate& first);
  /// Returns whether all engines of the attempt may still receive requests.
  bool AreEnginesReady(const LiveRequest& live);
  /// Reserves memory at the helper engines of the attempt, then sends it.
  void ReserveThenSend(const LiveRequestPtr& live, int64_t tokens);
  /// `refused_addresses` are those of the helper engines that refused.
  void OnReserved(const LiveRequestPtr& live,
                  const std::vector<std::string>& refused_addresses);
  void AddActiveRequests(
      LiveRequest& live, const scheduling::StreamPlan& plan,
      const std::vector<scheduling::EngineCandidate>& candidates);

  // Hedged requests.
  /// Considers a hedge once the request takes unusually long.
  void ScheduleHedge(const LiveRequestPtr& live);
  void ConsiderHedgeAfter(const LiveRequestPtr& live, Duration delay);
  void ConsiderHedge(const LiveRequestPtr& live, TimePoint now);
  /// Returns the engine that would answer first; none if no engine may take the
  /// request now.
  std::optional<HedgePlan> PlanHedge(const LiveRequest& live);
  std::vector<const discovery::EngineRecord*> FindHedgeEngines(
      const LiveRequest& live);
  std::optional<HedgePlan> PlanStreamHedge(
      const LiveRequest& live, const scheduling::EngineModel& model);
  std::optional<HedgePlan> PlanCallHedge(const LiveRequest& live);
  scheduling::HedgeVerdict DecideHedge(const LiveRequest& live,
                                       const std::optional<HedgePlan>& plan,
                                       TimePoint now);
  void SendHedge(const LiveRequestPtr& live, const HedgePlan& plan);
  /// Keeps the current attempt, whose answer has begun or is whole, and ends
  /// the other one.
  void SettleHedge(LiveRequest& live);
  /// Records that the other attempt was slower.
  void NoteLoser(LiveRequest& live, TimePoint now);
  /// Reports the outcome of a hedge, unless it was reported before.
  void EndHedge(LiveRequest& live, std::string_view outcome);
  void CountDeniedHedge(LiveRequest& live, scheduling::HedgeVerdict verdict);
  /// Counts the time that an attempt occupied its engine.
  void NoteEngineTime(const LiveRequest& live, const Attempt& attempt);
  /// Makes `engine` the last one of those tried.
  static void SetLastEngine(LiveRequest& live, const std::string& engine);

  void Tick();
  void ScheduleTick();
  /// Returns whether the request may be sent to another engine although the
  /// current engine may have run it.
  bool CanRetry(const LiveRequest& live, TimePoint now);
  bool IsStalled(const LiveRequest& live, TimePoint now);
  /// Leaves out of account that nothing was read for `pause`, in which this
  /// process did not run: what engines sent then is still to be read.
  void ExcludeOwnPause(Duration pause);
  /// Returns whether helper engines hold memory for an attempt whose primary
  /// engine has been unresponsive for so long that it has probably failed.
  static bool HoldsStaleReservation(const LiveRequest& live, TimePoint now);
  Duration AddJitter(Duration wait);
  EngineState& GetEngineState(const std::string& key) {
    return engine_states[key];
  }
  const scheduling::EngineModel* FindModel(const LiveRequest& live);

  io::IoThreads& threads;
  http::Client& client;
  MessageCodec codec;
  discovery::EngineDirectory& engines;
  scheduling::ActiveRequestTable& active_request_table;
  PeerExchange& peers;
  GatewayOptions options;
  scheduling::HedgePolicy hedging;
  /// Shared with the exchange.
  std::shared_ptr<scheduling::EngineRateLimits> rate_limits;
  /// Shared with the exchange.
  std::shared_ptr<discovery::ColdEngines> cold_engines;
  /// Read before the first configuration.
  std::vector<std::pair<discovery::EngineRecord, discovery::RegistrationRead>>
      early_registrations;
  /// Shared with the exchange.
  std::shared_ptr<quarantine::CrashQuarantine> crash_quarantine;
  /// Starts the ids of reservations. They hold nothing of the caller's request
  /// id, since they are part of JSON orders and of a comma-separated header.
  const std::string reservation_prefix = MakeRandomId();
  Reservations reservations;
  metrics::Family<metrics::Counter>& finished;
  metrics::Family<metrics::Counter>& failed_attempts;
  metrics::Family<metrics::Counter>& retries_sent;
  metrics::Family<metrics::Counter>& denied_retries;
  metrics::Family<metrics::Counter>& engine_crashes;
  metrics::Family<metrics::Counter>& ended_answers;
  metrics::Family<metrics::Histogram>& first_event_seconds;
  metrics::Family<metrics::Histogram>& first_event_ratio;
  /// Null if hedging is off.
  metrics::Family<metrics::Counter>* hedges;
  std::mt19937_64 random;
  /// Makes the engine preferences differ between entries.
  uint64_t preference_seed;
  const TimePoint started_at = SteadyClock().Now();
  std::shared_ptr<const routing::Configuration> configuration;
  std::unordered_map<std::string, scheduling::EngineModel> models;
  std::unordered_map<std::string, EngineState> engine_states;
  /// Until then some engine may be paused.
  TimePoint last_pause_end{};
  /// Keyed by engine address.
  std::unordered_map<std::string, TimePoint> memory_full_until;
  EngineQueries engine_queries;
  /// When services last sent an answer without length, by name; zero for those
  /// that have sent only others.
  std::unordered_map<std::string, TimePoint> last_without_length;
  /// Attempts that broke at engines that are being probed, by engine key.
  std::unordered_map<std::string, BrokenAttempts> broken_attempts;
  /// Keyed by service name.
  std::unordered_map<std::string, scheduling::FleetRetryBudget> budgets;
  std::unordered_map<uint64_t, LiveRequestPtr> live_requests;
  scheduling::RequestQueue queue;
  uint64_t next_number = 1;
  /// Whether some request was restricted to regions.
  bool has_homes = false;
  /// When the process has to exit, once it stops.
  std::optional<TimePoint> exit_at;
  bool is_refusing_requests = false;
  TimePoint tick_due{};
  bool is_tick_scheduled = false;
  bool is_draining_queue = false;
  bool is_drain_scheduled = false;
  bool is_review_scheduled = false;
};

}  // namespace peridotshelf::gateway
