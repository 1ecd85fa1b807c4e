#include "peridotshelf/gateway/gateway.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <unordered_map>
#include <utility>

#include "live_request.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/scheduling/engine_health.h"
#include "peridotshelf/scheduling/service_placement.h"
#include "peridotshelf/scheduling/stream_placement.h"
#include "peridotshelf/scheduling/wait_queue.h"
#include "reservations.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using scheduling::EngineCandidate;
using scheduling::Work;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kServerError = 500;

/// Time limit of a request whose caller and route name none.
constexpr Duration kDefaultTimeLimit = std::chrono::seconds(30);
/// Time to connect to an engine: a few round trips between failure domains.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
/// Peers' changes come often; what waits is tried again at most this often.
constexpr Duration kDrainInterval = std::chrono::milliseconds(20);
/// When this many waiting requests found no place, the others find none either.
constexpr int kMaxDrainFailures = 6;
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// A stream that had events goes on at another engine after this share of the
/// time at which its caller gives up, if it may. A long reading at its engine
/// can cause that as well as the engine's end.
constexpr double kSilenceShare = 0.8;
constexpr Duration kMaxSilence = std::chrono::seconds(3);
/// The same before the first event, beyond the time predicted.
constexpr Duration kFirstEventSilence = std::chrono::milliseconds(1200);
constexpr double kFirstEventOverrun = 2.5;
/// Part of the time left that a repeatable call may take at its first server.
constexpr double kFirstTryShare = 0.45;
/// Sends beyond the engines that may run a request; each needs a proof that the
/// one before it has not run.
constexpr int32_t kExtraSends = 2;
/// Prompt tokens that are worth as much as a request's fixed part. A long
/// answer stands for more of its caller's work than a short one.
constexpr double kTokensPerValue = 10000;
/// Assumed of a prompt whose size is not told.
constexpr int64_t kUnknownPromptTokens = 1000;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kRetryAfterUnready = std::chrono::milliseconds(500);
/// Callers that are refused together come back spread over this share of the
/// time that they are told to wait.
constexpr double kRetryAfterSpread = 0.5;
/// Weight of the newest call in a server's mean time.
constexpr double kCallTimeWeight = 0.2;

double MillisBetween(TimePoint from, TimePoint to) {
  return scheduling::MillisOf(to - from);
}

Duration FromMillis(double millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

Duration SilenceLimit(const routing::Route& route) {
  const double millis =
      kSilenceShare * scheduling::MillisOf(route.caller_patience);
  return std::min(kMaxSilence, FromMillis(millis));
}

std::string JoinKeys(const std::vector<std::string>& keys) {
  std::string joined;
  for (const std::string& key : keys) {
    if (!joined.empty()) joined += ' ';
    joined += key;
  }
  return joined;
}

/// What is known of one start of one engine.
struct EngineState {
  scheduling::EngineHealth health;
  double call_ms = 0;
};

/// Why a try at an engine failed.
enum class FailureCause {
  kUnreachable,    ///< No connection.
  kSilent,         ///< Nothing came for too long.
  kBroken,         ///< The connection broke off or its bytes made no sense.
  kNotRun,         ///< The engine proved that it did not run the request.
  kOtherEngine,    ///< Another engine has the address.
  kEngineFailure,  ///< The engine answered with a failure.
  kNoMemory,       ///< Memory could not be reserved at all helpers.
};

std::string_view ToString(FailureCause cause) {
  switch (cause) {
    case FailureCause::kUnreachable:
      return "unreachable";
    case FailureCause::kSilent:
      return "silent";
    case FailureCause::kBroken:
      return "broken";
    case FailureCause::kNotRun:
      return "not_run";
    case FailureCause::kOtherEngine:
      return "other_engine";
    case FailureCause::kEngineFailure:
      return "engine_failure";
    case FailureCause::kNoMemory:
      return "no_memory";
  }
  return "unknown";
}

/// Whether the failure proves that the engine did not run the request.
bool ProvesNotRun(FailureCause cause) {
  return cause == FailureCause::kUnreachable ||
         cause == FailureCause::kNotRun ||
         cause == FailureCause::kOtherEngine ||
         cause == FailureCause::kNoMemory;
}

}  // namespace

struct Gateway::Impl : std::enable_shared_from_this<Gateway::Impl> {
  Impl(io::IoThreads& io, http::Client& http_client, MessageCodec message_codec,
       discovery::EngineDirectory& directory, scheduling::LoadBoard& loads,
       PeerExchange& exchange, metrics::Registry& registry,
       const GatewayOptions& given)
      : threads(io),
        client(http_client),
        codec(std::move(message_codec)),
        engines(directory),
        board(loads),
        peers(exchange),
        options(given),
        reservations(io, http_client, codec, given.reservation_hold),
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
        random(std::random_device()()) {}

  // Arrival and end.
  void Handle(http::ServerRequest in, const http::ResponderPtr& responder);
  void Reject(const http::ResponderPtr& responder, const RequestId& id,
              int status, std::string_view reason);
  void Refuse(const LiveRequestPtr& live, Duration retry_after,
              std::string_view reason);
  void Finish(const LiveRequestPtr& live, int status, std::string_view outcome);
  void OnDeadline(const LiveRequestPtr& live);
  void OnHangUp(const LiveRequestPtr& live);

  // Placement.
  void Begin(const LiveRequestPtr& live);
  bool TryStream(const LiveRequestPtr& live,
                 const scheduling::EngineModel& model);
  bool TryCall(const LiveRequestPtr& live);
  void WaitOrRefuse(const LiveRequestPtr& live,
                    const scheduling::EngineModel& model);
  std::vector<const discovery::EngineRecord*> Usable(const LiveRequest& live);
  std::vector<EngineCandidate> Candidates(
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
  void PutWork(LiveRequest& live, const scheduling::StreamPlan& plan,
               const std::vector<EngineCandidate>& candidates);

  void Tick();
  void EnsureTicking();
  /// Whether the request may be sent to another engine although the present one
  /// may have run it.
  bool MayRepeat(const LiveRequest& live, TimePoint now);
  bool IsSilent(const LiveRequest& live, TimePoint now);
  Duration Spread(Duration wait);
  EngineState& StateOf(const std::string& key) { return engine_states[key]; }
  const scheduling::EngineModel* ModelOf(const LiveRequest& live);

  io::IoThreads& threads;
  http::Client& client;
  MessageCodec codec;
  discovery::EngineDirectory& engines;
  scheduling::LoadBoard& board;
  PeerExchange& peers;
  GatewayOptions options;
  Reservations reservations;
  metrics::Family<metrics::Counter>& finished;
  metrics::Family<metrics::Counter>& failed_attempts;
  metrics::Family<metrics::Counter>& repeats_sent;
  metrics::Family<metrics::Histogram>& first_event_seconds;
  metrics::Family<metrics::Histogram>& first_event_error;
  std::mt19937_64 random;
  std::shared_ptr<const routing::Configuration> configuration;
  std::unordered_map<std::string, scheduling::EngineModel> models;
  std::unordered_map<std::string, EngineState> engine_states;
  /// By service.
  std::unordered_map<std::string, scheduling::RepeatBudget> budgets;
  std::unordered_map<uint64_t, LiveRequestPtr> live_requests;
  scheduling::WaitQueue queue;
  uint64_t next_number = 1;
  bool refusing_streams = false;
  bool ticking = false;
  bool draining_queue = false;
  bool drain_due = false;
};

void Gateway::Impl::Reject(const http::ResponderPtr& responder,
                           const RequestId& id, int status,
                           std::string_view reason) {
  finished.With(reason).Add();
  events::Log(EventId::kRequestRefused,
              {{"request", id.value()},
               {"status", status},
               {"reason", std::string(reason)},
               {"config_version",
                configuration ? configuration->version() : int64_t{0}}});
  std::vector<http::Header> headers;
  if (status == kUnavailable) {
    const double seconds = scheduling::MillisOf(kRetryAfterUnready) / 1000;
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  responder->Reply(status, std::move(headers), "");
}

void Gateway::Impl::Handle(http::ServerRequest in,
                           const http::ResponderPtr& responder) {
  auto request = codec.read_request(in);
  if (!request) {
    Reject(responder, RequestId(), kBadRequest, "bad_request");
    return;
  }
  if (!configuration) {
    Reject(responder, request->id, kUnavailable, "no_configuration");
    return;
  }
  const routing::Route* route =
      configuration->FindRoute(request->host, request->path);
  if (route == nullptr) {
    Reject(responder, request->id, kNotFound, "no_route");
    return;
  }
  if (refusing_streams && route->repetition == routing::Repetition::kStream) {
    Reject(responder, request->id, kUnavailable, "stopping");
    return;
  }
  const routing::Team* team =
      request->key ? configuration->FindTeam(*request->key) : nullptr;
  if (configuration->keys_required() && !route->is_public && team == nullptr) {
    Reject(responder, request->id, kUnauthorized, "unknown_key");
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  const routing::WeightedService* service =
      routing::PickService(*route, draw(random));
  if (service == nullptr) {
    Reject(responder, request->id, kUnavailable, "no_service");
    return;
  }
  auto live = std::make_shared<LiveRequest>();
  live->number = next_number++;
  live->request = std::move(*request);
  live->responder = responder;
  live->configuration = configuration;
  live->route = route;
  live->service = service->service;
  live->priority = route->priority;
  if (team != nullptr) {
    live->team = team->id;
    live->priority = team->priority.value_or(route->priority);
  }
  const CallerRequest& taken = live->request;
  if (taken.prompt) {
    live->prompt_tokens = taken.prompt->prompt_tokens;
    live->output_tokens = std::clamp<int64_t>(
        taken.expected_output_tokens.value_or(taken.prompt->max_output_tokens /
                                              2),
        1, std::max<int64_t>(taken.prompt->max_output_tokens, 1));
  } else if (ModelOf(*live) != nullptr) {
    live->prompt_tokens = kUnknownPromptTokens;
  }
  live->value = 1 + static_cast<double>(live->prompt_tokens) / kTokensPerValue;
  live->last_event = taken.resume_after;
  live->arrived = SteadyClock().Now();
  Duration limit = taken.time_left.value_or(kDefaultTimeLimit);
  if (route->time_limit > Duration::zero()) {
    limit = std::min(limit, route->time_limit);
  }
  live->deadline = live->arrived + limit;
  live_requests.emplace(live->number, live);
  auto budget = budgets.try_emplace(live->service, options.repeats).first;
  budget->second.NoteRequest(live->arrived);
  responder->OnHangUp([self = shared_from_this(), weak = std::weak_ptr(live)] {
    if (const auto held = weak.lock()) self->OnHangUp(held);
  });
  threads.After(limit, [self = shared_from_this(), weak = std::weak_ptr(live)] {
    if (const auto held = weak.lock()) self->OnDeadline(held);
  });
  EnsureTicking();
  if (!live->is_done) Begin(live);
}

const scheduling::EngineModel* Gateway::Impl::ModelOf(const LiveRequest& live) {
  const auto found = models.find(live.service);
  if (found != models.end()) return &found->second;
  const routing::Service* service =
      live.configuration->FindService(live.service);
  if (service == nullptr || !service->speed) return nullptr;
  return &models.emplace(live.service, scheduling::EngineModel(*service->speed))
              .first->second;
}

std::vector<const discovery::EngineRecord*> Gateway::Impl::Usable(
    const LiveRequest& live) {
  const TimePoint now = SteadyClock().Now();
  const auto ready = engines.ReadyOf(live.service);
  std::vector<const discovery::EngineRecord*> usable;
  std::vector<const discovery::EngineRecord*> untried;
  for (const discovery::EngineRecord* record : ready) {
    const std::string key = record->Key();
    if (std::find(live.tried.begin(), live.tried.end(), key) !=
        live.tried.end()) {
      continue;
    }
    untried.push_back(record);
    if (StateOf(key).health.MayTry(now)) usable.push_back(record);
  }
  if (!usable.empty()) return usable;
  // With every engine in doubt, one of them is still better than none.
  return untried.empty() ? ready : untried;
}

std::vector<EngineCandidate> Gateway::Impl::Candidates(
    const std::vector<const discovery::EngineRecord*>& records,
    const scheduling::EngineModel& model) {
  const TimePoint now = SteadyClock().Now();
  std::vector<EngineCandidate> candidates;
  candidates.reserve(records.size());
  for (const discovery::EngineRecord* record : records) {
    EngineCandidate candidate;
    candidate.engine = record->Key();
    candidate.model = &model;
    candidate.load = board.LoadOf(candidate.engine, now);
    const EngineState& state = StateOf(candidate.engine);
    candidate.pace = state.health.Pace(now);
    candidate.success_rate = state.health.SuccessRate(now);
    candidate.is_near = record->failure_domain == options.failure_domain;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void Gateway::Impl::Begin(const LiveRequestPtr& live) {
  if (engines.ReadyOf(live->service).empty()) {
    GiveUp(live, "no_engine");
    return;
  }
  const scheduling::EngineModel* model = ModelOf(*live);
  if (model == nullptr) {
    if (!TryCall(live)) GiveUp(live, "no_engine");
    return;
  }
  // Requests that wait already go first.
  const bool must_queue = queue.AheadOf(live->priority) > 0;
  if (must_queue || !TryStream(live, *model)) WaitOrRefuse(live, *model);
}

bool Gateway::Impl::TryStream(const LiveRequestPtr& live,
                              const scheduling::EngineModel& model) {
  const TimePoint now = SteadyClock().Now();
  const auto records = Usable(*live);
  const auto candidates = Candidates(records, model);
  scheduling::StreamNeeds needs;
  needs.prompt_tokens = live->prompt_tokens;
  needs.output_tokens = live->output_tokens;
  needs.objective_ms = std::max(
      1.0, MillisBetween(now, live->arrived + live->route->latency_objective));
  needs.max_pause_ms = scheduling::MillisOf(live->route->max_pause);
  needs.value = live->value;
  const auto plan = scheduling::PlaceStream(needs, candidates);
  if (!plan || !scheduling::ShouldStart(*plan, candidates)) return false;
  StartAttempt(live, *records[plan->first]);
  Attempt& attempt = *live->attempt;
  attempt.predicted_first_ms = plan->first_event_ms;
  attempt.predicted_write_ms = plan->write_ms;
  std::vector<std::string> addresses;
  if (plan->reserve_tokens > 0) {
    attempt.reservation =
        live->request.id.value() + "-" + std::to_string(attempt.number);
  }
  for (const size_t index : plan->helpers) {
    attempt.helper_keys.push_back(candidates[index].engine);
    attempt.helpers.push_back({records[index]->address, attempt.reservation});
    addresses.push_back(records[index]->address);
  }
  PutWork(*live, *plan, candidates);
  events::Log(
      EventId::kRequestPlaced,
      {{"request", live->request.id.value()},
       {"engine", attempt.engine_key},
       {"helpers", static_cast<int64_t>(plan->helpers.size())},
       {"helper_engines", JoinKeys(attempt.helper_keys)},
       {"part_ms", std::lround(plan->part_ms)},
       {"reserved_tokens", plan->reserve_tokens},
       {"prompt_tokens", live->prompt_tokens},
       {"predicted_ms", std::lround(plan->first_event_ms)},
       {"backlog_ms", std::lround(candidates[plan->first].load.backlog_ms)},
       {"running", candidates[plan->first].load.running},
       {"pace", candidates[plan->first].pace},
       {"gain", plan->gain},
       {"waited_ms", ToMilliseconds(now - live->arrived)}});
  if (attempt.reservation.empty()) {
    Send(live);
    return true;
  }
  reservations.Reserve(
      attempt.reservation, addresses, plan->reserve_tokens,
      [self = shared_from_this(), weak = std::weak_ptr(live),
       number = attempt.number](bool granted) {
        const auto held = weak.lock();
        if (!held || !held->attempt || held->attempt->number != number) return;
        if (granted) {
          self->Send(held);
        } else {
          self->Fail(held, FailureCause::kNoMemory, "reservation refused");
        }
      });
  return true;
}

void Gateway::Impl::PutWork(LiveRequest& live,
                            const scheduling::StreamPlan& plan,
                            const std::vector<EngineCandidate>& candidates) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live.attempt;
  const auto put = [&](size_t index, bool is_part) {
    const EngineCandidate& engine = candidates[index];
    Work work;
    work.id = attempt.number;
    work.is_part = is_part;
    work.memory_tokens = live.prompt_tokens + live.output_tokens;
    if (plan.reserve_tokens > 0) {
      work.memory_tokens = plan.reserve_tokens;
    } else if (is_part) {
      work.memory_tokens = 0;
    }
    work.read_ms = plan.part_ms;
    work.max_pause_ms = scheduling::MillisOf(live.route->max_pause);
    work.patience_ms = scheduling::MillisOf(live.route->caller_patience);
    work.value = live.value;
    work.read_end =
        now + FromMillis(engine.load.backlog_ms + engine.pace * plan.part_ms);
    work.end = is_part ? now + FromMillis(plan.first_event_ms)
                       : now + FromMillis(plan.first_event_ms + plan.write_ms);
    board.Put(engine.engine, work);
    peers.NoteChange(engine.engine);
  };
  put(plan.first, /*is_part=*/false);
  for (const size_t index : plan.helpers) put(index, /*is_part=*/true);
}

bool Gateway::Impl::TryCall(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  const auto records = Usable(*live);
  std::vector<scheduling::ServiceCandidate> servers;
  servers.reserve(records.size());
  for (const discovery::EngineRecord* record : records) {
    const std::string key = record->Key();
    const EngineState& state = StateOf(key);
    scheduling::ServiceCandidate server;
    server.running = board.LoadOf(key, now).running;
    server.slots = std::max(record->slots, 1);
    server.call_ms = state.call_ms;
    server.success_rate = state.health.SuccessRate(now);
    server.is_near = record->failure_domain == options.failure_domain;
    servers.push_back(server);
  }
  const auto chosen = scheduling::PlaceCall(servers);
  if (!chosen) return false;
  StartAttempt(live, *records[*chosen]);
  Work work;
  work.id = live->attempt->number;
  work.reading = false;
  work.end = now + FromMillis(std::max(servers[*chosen].call_ms, 1.0) * 2);
  board.Put(live->attempt->engine_key, work);
  peers.NoteChange(live->attempt->engine_key);
  events::Log(EventId::kRequestPlaced,
              {{"request", live->request.id.value()},
               {"engine", live->attempt->engine_key},
               {"running", servers[*chosen].running},
               {"call_ms", servers[*chosen].call_ms},
               {"success_rate", servers[*chosen].success_rate}});
  Send(live);
  return true;
}

void Gateway::Impl::WaitOrRefuse(const LiveRequestPtr& live,
                                 const scheduling::EngineModel& model) {
  const TimePoint now = SteadyClock().Now();
  const auto candidates = Candidates(Usable(*live), model);
  const double begin_ms =
      model.ReadTime(live->prompt_tokens) / 2 + model.PassTime(1, 0);
  TimePoint give_up_at = live->deadline;
  if (live->route->caller_patience > Duration::zero()) {
    give_up_at =
        std::min(give_up_at, live->arrived + live->route->caller_patience);
  }
  give_up_at -= FromMillis(begin_ms);
  const auto decision = scheduling::DecideWait(
      candidates, queue.AheadOf(live->priority), give_up_at - now, now);
  if (!decision.may_wait) {
    Refuse(live, decision.place_in, "no_place");
    return;
  }
  scheduling::Waiting waiting;
  waiting.id = live->number;
  waiting.priority = live->priority;
  waiting.value_density = live->value / begin_ms;
  waiting.since = live->arrived;
  waiting.on_time_until =
      live->arrived + live->route->latency_objective - FromMillis(begin_ms);
  waiting.give_up_at = give_up_at;
  queue.Add(waiting);
  live->is_waiting = true;
  events::Log(EventId::kRequestWaits,
              {{"request", live->request.id.value()},
               {"place_in_ms", ToMilliseconds(decision.place_in)},
               {"ahead", static_cast<int64_t>(queue.size() - 1)}});
}

void Gateway::Impl::DrainQueue() {
  if (queue.empty() || std::exchange(draining_queue, true)) return;
  const TimePoint now = SteadyClock().Now();
  for (const uint64_t id : queue.TakeExpired(now)) {
    const auto found = live_requests.find(id);
    if (found == live_requests.end()) continue;
    const LiveRequestPtr live = found->second;
    live->is_waiting = false;
    Refuse(live, kMinRetryAfter, "waited_too_long");
  }
  int failures = 0;
  for (const uint64_t id : queue.InOrder(now)) {
    if (failures == kMaxDrainFailures) break;
    const auto found = live_requests.find(id);
    if (found == live_requests.end()) {
      queue.Remove(id);
      continue;
    }
    const LiveRequestPtr live = found->second;
    const scheduling::EngineModel* model = ModelOf(*live);
    if (model == nullptr || !TryStream(live, *model)) {
      ++failures;
      continue;
    }
    queue.Remove(id);
    live->is_waiting = false;
  }
  draining_queue = false;
}

void Gateway::Impl::DrainQueueSoon() {
  if (queue.empty() || std::exchange(drain_due, true)) return;
  threads.After(kDrainInterval, [self = shared_from_this()] {
    self->drain_due = false;
    self->DrainQueue();
  });
}

void Gateway::Impl::StartAttempt(const LiveRequestPtr& live,
                                 const discovery::EngineRecord& engine) {
  Attempt attempt;
  attempt.number = next_number++;
  attempt.engine_key = engine.Key();
  attempt.engine_id = engine.id;
  attempt.address = engine.address;
  live->tried.push_back(attempt.engine_key);
  live->attempt = std::move(attempt);
}

void Gateway::Impl::Send(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  attempt.sent_at = now;
  attempt.last_progress = now;
  if (live->sends++ > 0) repeats_sent.Only().Add();
  EngineCall call;
  call.address = attempt.address;
  call.engine_id = attempt.engine_id;
  call.team = live->team;
  call.time_left = live->deadline - now;
  call.resume_after = live->last_event;
  call.helpers = attempt.helpers;
  http::ClientRequest request = codec.write_call(live->request, call);
  request.fresh_connection = true;
  request.exact_headers = true;
  request.connect_timeout = kConnectTimeout;
  // Callbacks come on the client's thread; each goes to the gateway's own.
  const auto post = [self = shared_from_this(), weak = std::weak_ptr(live),
                     number = attempt.number](auto&& act) {
    self->threads.Post([self, weak, number, act = std::move(act)] {
      const auto held = weak.lock();
      if (!held || !held->attempt || held->attempt->number != number) return;
      act(*self, held);
    });
  };
  http::ClientCallbacks callbacks;
  callbacks.on_head = [post](const http::ClientResponseHead& head) {
    post([head](Impl& self, const LiveRequestPtr& held) {
      self.OnHead(held, head);
    });
  };
  callbacks.on_data = [post](std::string_view data) {
    post([bytes = std::string(data)](Impl& self, const LiveRequestPtr& held) {
      self.OnData(held, bytes);
    });
  };
  callbacks.on_done = [post](const Result<int>& outcome) {
    post([outcome](Impl& self, const LiveRequestPtr& held) {
      self.OnDone(held, outcome);
    });
  };
  attempt.call = client.Start(std::move(request), std::move(callbacks));
}

void Gateway::Impl::OnHead(const LiveRequestPtr& live,
                           const http::ClientResponseHead& raw) {
  AnswerHead head = codec.read_answer(raw, live->request);
  live->attempt->last_progress = SteadyClock().Now();
  if (head.is_other_engine) {
    Fail(live, FailureCause::kOtherEngine, "another engine has the address");
    return;
  }
  if (head.is_not_run) {
    Fail(live, FailureCause::kNotRun, "status " + std::to_string(head.status));
    return;
  }
  if (!head.names_request || !head.is_signed || head.is_encoded) {
    Fail(live, FailureCause::kBroken, "not an answer to this request");
    return;
  }
  live->attempt->head = std::move(head);
}

void Gateway::Impl::OnData(const LiveRequestPtr& live,
                           const std::string& data) {
  Attempt& attempt = *live->attempt;
  if (!attempt.head) return;
  attempt.last_progress = SteadyClock().Now();
  if (!live->IsStream() || attempt.head->status / 100 != 2) {
    attempt.body += data;
    return;
  }
  const uint64_t number = attempt.number;
  // An event may end the try, and its splitter with it.
  for (const std::string& event : attempt.events.Feed(data)) {
    if (!live->attempt || live->attempt->number != number) return;
    OnEvent(live, event);
  }
}

void Gateway::Impl::NoteFirstEvent(LiveRequest& live, TimePoint now) {
  Attempt& attempt = *live.attempt;
  attempt.got_event = true;
  attempt.last_event_at = now;
  if (live.first_event_ms == 0) {
    live.first_event_ms = MillisBetween(live.arrived, now);
    live.predicted_first_ms = attempt.predicted_first_ms;
  }
  const double actual = MillisBetween(attempt.sent_at, now);
  if (attempt.predicted_first_ms > 0) {
    const double ratio = actual / attempt.predicted_first_ms;
    StateOf(attempt.engine_key).health.NotePace(ratio, now);
    first_event_error.Only().Observe(ratio);
  }
  first_event_seconds.With(live.route->name)
      .Observe(MillisBetween(live.arrived, now) / 1000);
  if (Work* work = board.Find(attempt.engine_key, attempt.number)) {
    work->reading = false;
    work->end = now + FromMillis(attempt.predicted_write_ms);
    peers.NoteChange(attempt.engine_key);
  }
  if (!attempt.reservation.empty()) return;
  for (const std::string& helper : attempt.helper_keys) {
    board.Remove(helper, attempt.number);
    peers.NoteChange(helper);
  }
}

void Gateway::Impl::NotePause(LiveRequest& live, TimePoint now) {
  Attempt& attempt = *live.attempt;
  const Duration pause = now - attempt.last_event_at;
  attempt.last_event_at = now;
  live.longest_pause_ms =
      std::max(live.longest_pause_ms, scheduling::MillisOf(pause));
  if (live.route->max_pause <= Duration::zero() ||
      pause <= live.route->max_pause) {
    return;
  }
  Work* work = board.Find(attempt.engine_key, attempt.number);
  if (work == nullptr || std::exchange(work->is_late, true)) return;
  const auto load = board.LoadOf(attempt.engine_key, now - pause);
  events::Log(EventId::kStreamPaused,
              {{"request", live.request.id.value()},
               {"engine", attempt.engine_key},
               {"pause_ms", ToMilliseconds(pause)},
               {"known_reading_ms", std::lround(load.backlog_ms)},
               {"running", load.running}});
}

void Gateway::Impl::OnEvent(const LiveRequestPtr& live,
                            std::string_view event) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  const auto number = EventNumber(event);
  if (number && live->last_event) {
    if (*number <= *live->last_event) return;
    if (*number != *live->last_event + 1) {
      Fail(live, FailureCause::kBroken, "an event is missing");
      return;
    }
  }
  if (!attempt.got_event) {
    NoteFirstEvent(*live, now);
  } else {
    NotePause(*live, now);
  }
  if (number) live->last_event = number;
  if (!std::exchange(live->head_sent, true)) {
    live->responder->BeginStream(attempt.head->status, attempt.head->headers);
  }
  live->responder->Write(std::string(event));
}

void Gateway::Impl::OnDone(const LiveRequestPtr& live,
                           const Result<int>& outcome) {
  Attempt& attempt = *live->attempt;
  attempt.call.reset();
  if (!outcome) {
    const Error& error = outcome.error();
    Fail(live,
         error.not_run ? FailureCause::kUnreachable : FailureCause::kBroken,
         error.detail);
    return;
  }
  if (!attempt.head) {
    Fail(live, FailureCause::kBroken, "no answer");
    return;
  }
  const int status = attempt.head->status;
  if (status >= kServerError) {
    live->engine_failure = attempt.head;
    live->engine_failure_body = std::move(attempt.body);
    Fail(live, FailureCause::kEngineFailure,
         "status " + std::to_string(status));
    return;
  }
  const bool is_event_stream = live->IsStream() && status / 100 == 2;
  if (is_event_stream && (attempt.events.HasRest() || !attempt.got_event)) {
    Fail(live, FailureCause::kBroken, "the stream ended within an event");
    return;
  }
  Complete(live);
}

void Gateway::Impl::Complete(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  EngineState& state = StateOf(attempt.engine_key);
  state.health.NoteSuccess(now);
  const int status = attempt.head->status;
  if (live->head_sent) {
    EndAttempt(*live);
    live->responder->EndStream();
  } else {
    const double took = MillisBetween(attempt.sent_at, now);
    state.call_ms =
        state.call_ms == 0
            ? took
            : state.call_ms + kCallTimeWeight * (took - state.call_ms);
    AnswerHead head = std::move(*attempt.head);
    std::string body = std::move(attempt.body);
    EndAttempt(*live);
    live->responder->Reply(head.status, std::move(head.headers),
                           std::move(body));
  }
  Finish(live, status, status / 100 == 2 ? "served" : "engine_failure");
}

void Gateway::Impl::EndAttempt(LiveRequest& live) {
  if (!live.attempt) return;
  Attempt& attempt = *live.attempt;
  if (attempt.call) client.Cancel(*attempt.call);
  board.Remove(attempt.engine_key, attempt.number);
  peers.NoteChange(attempt.engine_key);
  for (const std::string& helper : attempt.helper_keys) {
    board.Remove(helper, attempt.number);
    peers.NoteChange(helper);
  }
  if (!attempt.reservation.empty()) reservations.Release(attempt.reservation);
  live.attempt.reset();
}

void Gateway::Impl::Fail(const LiveRequestPtr& live, FailureCause cause,
                         std::string_view detail) {
  const TimePoint now = SteadyClock().Now();
  const Attempt& attempt = *live->attempt;
  scheduling::EngineHealth& health = StateOf(attempt.engine_key).health;
  switch (cause) {
    case FailureCause::kUnreachable:
    case FailureCause::kOtherEngine:
      health.NoteUnreachable(now);
      break;
    case FailureCause::kSilent:
    case FailureCause::kBroken:
    case FailureCause::kNotRun:
    case FailureCause::kEngineFailure:
      health.NoteFailure(now);
      break;
    case FailureCause::kNoMemory:
      break;
  }
  failed_attempts.With(ToString(cause)).Add();
  const bool not_run = ProvesNotRun(cause);
  events::Log(EventId::kAttemptFailed,
              {{"request", live->request.id.value()},
               {"engine", attempt.engine_key},
               {"cause", std::string(ToString(cause))},
               {"detail", std::string(detail)},
               {"had_event", attempt.got_event},
               {"predicted_ms", std::lround(attempt.predicted_first_ms)},
               {"try_ms", ToMilliseconds(now - attempt.sent_at)},
               {"not_run", not_run},
               {"sends", live->sends},
               {"after_ms", ToMilliseconds(now - live->arrived)}});
  if (!not_run) ++live->runs;
  EndAttempt(*live);
  const bool may_run_again = live->runs == 0 || live->route->Repeatable();
  const bool engines_left =
      live->runs < live->route->max_attempts &&
      live->sends < live->route->max_attempts + kExtraSends;
  if (!may_run_again || !engines_left || now >= live->deadline) {
    GiveUp(live, ToString(cause));
    return;
  }
  const bool was_sent = cause != FailureCause::kNoMemory;
  auto& budget = budgets.at(live->service);
  if (was_sent && !budget.TrySpend(now, peers.LiveEntries())) {
    GiveUp(live, "repeat_budget");
    return;
  }
  Begin(live);
  DrainQueue();
}

void Gateway::Impl::GiveUp(const LiveRequestPtr& live,
                           std::string_view reason) {
  if (live->head_sent) {
    live->responder->Abort();
    Finish(live, 0, "stream_cut");
    return;
  }
  if (live->engine_failure) {
    const int status = live->engine_failure->status;
    live->responder->Reply(status, std::move(live->engine_failure->headers),
                           std::move(live->engine_failure_body));
    Finish(live, status, "engine_failure");
    return;
  }
  if (live->runs == 0) {
    Refuse(live, kRetryAfterUnready, reason);
    return;
  }
  live->responder->Reply(kBadGateway, {}, "");
  Finish(live, kBadGateway, "lost_at_engine");
}

Duration Gateway::Impl::Spread(Duration wait) {
  std::uniform_real_distribution<double> draw(1, 1 + kRetryAfterSpread);
  const double millis = scheduling::MillisOf(std::max(wait, kMinRetryAfter));
  return FromMillis(millis * draw(random));
}

void Gateway::Impl::Refuse(const LiveRequestPtr& live, Duration retry_after,
                           std::string_view reason) {
  // A refusal says that the request has not run.
  if (live->head_sent || live->runs > 0) {
    GiveUp(live, reason);
    return;
  }
  const double seconds = scheduling::MillisOf(Spread(retry_after)) / 1000;
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", seconds);
  events::Log(EventId::kRequestRefused,
              {{"request", live->request.id.value()},
               {"status", kUnavailable},
               {"reason", std::string(reason)},
               {"retry_after_s", seconds},
               {"sends", live->sends},
               {"queue", static_cast<int64_t>(queue.size())},
               {"config_version", live->configuration->version()}});
  live->responder->Reply(kUnavailable, {{"Retry-After", text}}, "");
  Finish(live, kUnavailable, "refused");
}

void Gateway::Impl::OnDeadline(const LiveRequestPtr& live) {
  if (live->is_done) return;
  const bool may_have_run =
      live->runs > 0 || (live->attempt && live->attempt->call);
  EndAttempt(*live);
  if (live->head_sent) {
    live->responder->Abort();
    Finish(live, 0, "stream_cut");
  } else if (may_have_run) {
    live->responder->Reply(kGatewayTimeout, {}, "");
    Finish(live, kGatewayTimeout, "timed_out");
  } else {
    Refuse(live, kRetryAfterUnready, "deadline");
  }
}

void Gateway::Impl::OnHangUp(const LiveRequestPtr& live) {
  if (live->is_done) return;
  EndAttempt(*live);
  Finish(live, 0, "caller_left");
}

void Gateway::Impl::Finish(const LiveRequestPtr& live, int status,
                           std::string_view outcome) {
  if (std::exchange(live->is_done, true)) return;
  if (live->is_waiting) queue.Remove(live->number);
  finished.With(outcome).Add();
  events::Log(
      EventId::kRequestFinished,
      {{"request", live->request.id.value()},
       {"route", live->route->name},
       {"team", live->team.value()},
       {"status", status},
       {"outcome", std::string(outcome)},
       {"engine", live->tried.empty() ? std::string() : live->tried.back()},
       {"sends", live->sends},
       {"prompt_tokens", live->prompt_tokens},
       {"first_ms", std::lround(live->first_event_ms)},
       {"predicted_ms", std::lround(live->predicted_first_ms)},
       {"longest_pause_ms", std::lround(live->longest_pause_ms)},
       {"ms", ToMilliseconds(SteadyClock().Now() - live->arrived)},
       {"config_version", live->configuration->version()}});
  live_requests.erase(live->number);
  DrainQueueSoon();
}

bool Gateway::Impl::MayRepeat(const LiveRequest& live, TimePoint now) {
  if (!live.route->Repeatable()) return false;
  if (live.runs + 1 >= live.route->max_attempts) return false;
  if (engines.ReadyOf(live.service).size() < 2) return false;
  return budgets.at(live.service).Left(now, peers.LiveEntries()) >= 1;
}

bool Gateway::Impl::IsSilent(const LiveRequest& live, TimePoint now) {
  const Attempt& attempt = *live.attempt;
  if (!attempt.call) return false;
  // Silence alone ends nothing: the engine may still be at work.
  if (!MayRepeat(live, now)) return false;
  const Duration silent = now - attempt.last_progress;
  if (!live.IsStream()) {
    const double given =
        kFirstTryShare * MillisBetween(attempt.sent_at, live.deadline);
    return MillisBetween(attempt.sent_at, now) > given;
  }
  if (!attempt.got_event) {
    return silent > kFirstEventSilence + FromMillis(kFirstEventOverrun *
                                                    attempt.predicted_first_ms);
  }
  return silent > SilenceLimit(*live.route);
}

void Gateway::Impl::EnsureTicking() {
  if (std::exchange(ticking, true)) return;
  threads.After(kTickInterval, [self = shared_from_this()] { self->Tick(); });
}

void Gateway::Impl::Tick() {
  ticking = false;
  const TimePoint now = SteadyClock().Now();
  std::vector<LiveRequestPtr> silent;
  for (const auto& [number, live] : live_requests) {
    if (live->attempt && IsSilent(*live, now)) silent.push_back(live);
  }
  for (const LiveRequestPtr& live : silent) {
    if (live->attempt) Fail(live, FailureCause::kSilent, "no bytes for long");
  }
  DrainQueue();
  if (!live_requests.empty()) EnsureTicking();
}

Gateway::Gateway(io::IoThreads& threads, http::Client& client,
                 MessageCodec codec, discovery::EngineDirectory& engines,
                 scheduling::LoadBoard& board, PeerExchange& peers,
                 metrics::Registry& registry, const GatewayOptions& options)
    : m_impl(std::make_shared<Impl>(threads, client, std::move(codec), engines,
                                    board, peers, registry, options)) {
  peers.OnPeerChange([impl = m_impl] { impl->DrainQueueSoon(); });
}

Gateway::~Gateway() = default;

void Gateway::SetConfiguration(
    std::shared_ptr<const routing::Configuration> configuration) {
  m_impl->configuration = std::move(configuration);
  // Engines' speeds may have changed with it.
  m_impl->models.clear();
}

std::shared_ptr<const routing::Configuration> Gateway::configuration() const {
  return m_impl->configuration;
}

void Gateway::SetRepeatLimits(const scheduling::RepeatLimits& limits) {
  m_impl->options.repeats = limits;
  for (auto& [service, budget] : m_impl->budgets) budget.SetLimits(limits);
}

void Gateway::NoteEnginesChanged() { m_impl->DrainQueueSoon(); }

void Gateway::Handle(http::ServerRequest request,
                     http::ResponderPtr responder) {
  m_impl->Handle(std::move(request), responder);
}

void Gateway::RefuseNewStreams() { m_impl->refusing_streams = true; }

size_t Gateway::RunningCount() const { return m_impl->live_requests.size(); }

void Gateway::AbortAll() {
  std::vector<LiveRequestPtr> open;
  for (const auto& [number, live] : m_impl->live_requests) open.push_back(live);
  for (const LiveRequestPtr& live : open) m_impl->OnDeadline(live);
}

}  // namespace peridotshelf::gateway
