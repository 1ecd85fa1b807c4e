#include <algorithm>
#include <cmath>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;

/// Timeout of a request if neither its caller nor its route sets one.
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
/// Number of prompt tokens that add as much value as the fixed value of a
/// request. The response to a long prompt is worth more, because it represents
/// more of the caller's work.
constexpr double kTokensPerValue = 10000;
/// Assumed if the prompt size is not stated.
constexpr int64_t kUnknownPromptTokens = 1000;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
/// Another entry may serve the caller earlier than this one could.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr Duration kRetryAfterUnavailable = std::chrono::milliseconds(500);
/// Retry-After is increased by up to this fraction at random, so that callers
/// refused together do not return together.
constexpr double kRetryAfterSpread = 0.5;

/// Returns the caller's estimate of the output length, or else half of its
/// limit.
int64_t EstimateOutputTokens(const CallerRequest& request) {
  if (!request.prompt) return 0;
  const int64_t max_tokens =
      std::max<int64_t>(request.prompt->max_output_tokens, 1);
  return std::clamp<int64_t>(
      request.expected_output_tokens.value_or(max_tokens / 2), 1, max_tokens);
}

/// Returns how long the caller of `request` waits.
Duration FindTimeout(const CallerRequest& request,
                     const routing::Route& route) {
  const Duration timeout = request.time_left.value_or(kDefaultTimeout);
  if (route.time_limit <= Duration::zero()) return timeout;
  return std::min(timeout, route.time_limit);
}

}  // namespace

http::Header MakeRetryAfterHeader(Duration wait) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f",
                std::chrono::duration<double>(wait).count());
  return {"Retry-After", text};
}

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
  if (status == http::kUnavailable) {
    headers.push_back(MakeRetryAfterHeader(kRetryAfterUnavailable));
  }
  responder->Reply(status, std::move(headers), "");
}

void Gateway::Impl::Handle(const http::ServerRequest& in,
                           const http::ResponderPtr& responder) {
  auto request = codec.read_request(in);
  if (!request) {
    Reject(responder, RequestId(), http::kBadRequest, "bad_request");
    return;
  }
  if (is_refusing_requests) {
    Reject(responder, request->id, http::kUnavailable, "stopping");
    return;
  }
  if (!configuration) {
    Reject(responder, request->id, http::kUnavailable, "no_configuration");
    return;
  }
  const routing::Route* route =
      configuration->FindRoute(request->host, request->path);
  if (route == nullptr) {
    Reject(responder, request->id, http::kNotFound, "no_route");
    return;
  }
  const bool is_stream = route->retry_safety == routing::RetrySafety::kStream;
  if (exit_at &&
      (is_stream ||
       SteadyClock().Now() + FindTimeout(*request, *route) > *exit_at)) {
    Reject(responder, request->id, http::kUnavailable, "stopping");
    return;
  }
  const routing::Team* team =
      request->key ? configuration->FindTeam(*request->key) : nullptr;
  if (configuration->keys_required() && !route->is_public && team == nullptr) {
    Reject(responder, request->id, http::kUnauthorized, "unknown_key");
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  const routing::WeightedService* service =
      routing::PickService(*route, draw(random));
  if (service == nullptr) {
    Reject(responder, request->id, http::kUnavailable, "no_service");
    return;
  }
  auto live = std::make_shared<LiveRequest>();
  live->request = std::move(*request);
  live->responder = responder;
  live->configuration = configuration;
  live->route = route;
  live->service = service->service;
  live->priority = route->priority;
  live->allowed_regions = routing::FindAllowedRegions(*route, team);
  if (live->allowed_regions) has_homes = true;
  if (team != nullptr) {
    live->team = team->id;
    live->priority = team->priority.value_or(route->priority);
  }
  RunFor(live, [&] { Accept(live); });
}

void Gateway::Impl::Accept(const LiveRequestPtr& live) {
  const CallerRequest& request = live->request;
  live->number = next_number++;
  live->arrived = SteadyClock().Now();
  if (request.prompt) {
    live->prompt_tokens = request.prompt->prompt_tokens;
  } else if (FindModel(*live) != nullptr) {
    live->prompt_tokens = kUnknownPromptTokens;
  }
  live->output_tokens = EstimateOutputTokens(request);
  live->value = 1 + static_cast<double>(live->prompt_tokens) / kTokensPerValue;
  live->last_event_number = request.resume_after;
  SetSuspects(*live);
  const Duration timeout = FindTimeout(request, *live->route);
  live->deadline = live->arrived + timeout;
  live_requests.emplace(live->number, live);
  GetRetryBudget(live->service).NoteRequest(live->arrived, peers.LimitPart());
  const std::weak_ptr<LiveRequest> weak = live;
  const auto guard = [self = shared_from_this(), weak](auto end) {
    return [self, weak, end] {
      const auto held = weak.lock();
      if (held) self->RunFor(held, [&] { ((*self).*end)(held); });
    };
  };
  live->responder->OnDisconnect(guard(&Impl::OnDisconnect));
  threads.RunAfter(timeout, guard(&Impl::OnDeadline));
  ScheduleTick();
  if (!live->is_done) PlaceOrQueue(live);
}

void Gateway::Impl::GiveUp(const LiveRequestPtr& live,
                           std::string_view reason) {
  if (live->is_head_sent) {
    live->responder->Abort();
    Finish(live, 0, "stream_cut");
    return;
  }
  // The attempt that failed is one of the possible runs.
  const bool is_false_refusal =
      live->engine_failure && PromisesNotRun(live->engine_failure->status) &&
      (live->possible_runs > 1 || !live->route->IsRetryable());
  if (live->engine_failure && !is_false_refusal) {
    const int status = live->engine_failure->status;
    live->responder->Reply(status, std::move(live->engine_failure->headers),
                           std::move(live->engine_failure_body));
    Finish(live, status, "engine_failure");
    return;
  }
  if (live->possible_runs == 0) {
    Refuse(live, kRetryAfterUnavailable, reason);
    return;
  }
  live->responder->Reply(http::kBadGateway, {}, "");
  Finish(live, http::kBadGateway, "lost_at_engine");
}

Duration Gateway::Impl::AddJitter(Duration wait) {
  std::uniform_real_distribution<double> draw(1, 1 + kRetryAfterSpread);
  const double millis = scheduling::ToMillis(std::max(wait, kMinRetryAfter));
  return FromMillis(millis * draw(random));
}

void Gateway::Impl::Refuse(const LiveRequestPtr& live, Duration retry_after,
                           std::string_view reason) {
  // A refusal guarantees that the request has not run.
  if (live->is_head_sent || live->possible_runs > 0) {
    GiveUp(live, reason);
    return;
  }
  const Duration wait = AddJitter(std::min(retry_after, kMaxRetryAfter));
  events::Log(EventId::kRequestRefused,
              {{"request", live->request.id.value()},
               {"status", http::kUnavailable},
               {"reason", std::string(reason)},
               {"retry_after_s", std::chrono::duration<double>(wait).count()},
               {"sends", live->sent_attempts},
               {"queue", static_cast<int64_t>(queue.size())},
               {"config_version", live->configuration->version()}});
  live->responder->Reply(http::kUnavailable, {MakeRetryAfterHeader(wait)}, "");
  Finish(live, http::kUnavailable, "refused");
}

void Gateway::Impl::OnDeadline(const LiveRequestPtr& live) {
  if (live->is_done) return;
  const bool may_have_run = live->possible_runs > 0 || live->IsAtEngine();
  EndAttempts(*live);
  if (live->is_head_sent) {
    live->responder->Abort();
    Finish(live, 0, "stream_cut");
  } else if (may_have_run) {
    live->responder->Reply(http::kGatewayTimeout, {}, "");
    Finish(live, http::kGatewayTimeout, "timed_out");
  } else {
    Refuse(live, kRetryAfterUnavailable, "deadline");
  }
}

void Gateway::Impl::EndAfterException(const LiveRequestPtr& live) noexcept {
  if (live->is_done) return;
  // Each step is tried, whatever the exception left undone: the caller's answer
  // last, since it must not promise more than was done.
  (void)events::RunGuarded("request_end", [&] { EndAttempts(*live); });
  live->attempt.reset();
  live->other_attempt.reset();
  (void)events::RunGuarded("request_end", [&] {
    if (live->is_head_sent) {
      live->responder->Abort();
    } else {
      live->responder->Reply(http::kServerError, {}, "");
    }
  });
  (void)events::RunGuarded("request_end", [&] {
    Finish(live, live->is_head_sent ? 0 : http::kServerError, "internal_error");
  });
  live_requests.erase(live->number);
}

void Gateway::Impl::OnDisconnect(const LiveRequestPtr& live) {
  if (live->is_done) return;
  EndAttempts(*live);
  Finish(live, 0, "caller_left");
}

void Gateway::Impl::Finish(const LiveRequestPtr& live, int status,
                           std::string_view outcome) {
  if (std::exchange(live->is_done, true)) return;
  queue.Remove(live->number);
  if (std::exchange(live->has_retry_claim, false)) {
    GetRetryBudget(live->service).Release();
  }
  // If an engine crashed under it, that decides.
  if (!live->has_broken) crash_quarantine->EndTrial(live->number);
  finished.With(outcome).Add();
  events::Log(
      EventId::kRequestFinished,
      {{"request", live->request.id.value()},
       {"route", live->route->name},
       {"team", live->team.value()},
       {"status", status},
       {"outcome", std::string(outcome)},
       {"engine", live->tried_engines.empty() ? std::string()
                                              : live->tried_engines.back()},
       {"sends", live->sent_attempts},
       {"prompt_tokens", live->prompt_tokens},
       {"first_ms", std::lround(live->first_event_ms.value_or(0))},
       {"predicted_ms", std::lround(live->predicted_first_event_ms)},
       {"longest_pause_ms", std::lround(live->longest_pause_ms)},
       {"ms", ToMilliseconds(SteadyClock().Now() - live->arrived)},
       {"config_version", live->configuration->version()}});
  live_requests.erase(live->number);
  ScheduleQueueDrain();
}

Gateway::Gateway(io::IoThreads& threads, http::Client& client,
                 MessageCodec codec, discovery::EngineDirectory& engines,
                 scheduling::ActiveRequestTable& active_request_table,
                 PeerExchange& peers, metrics::Registry& registry,
                 const GatewayOptions& options)
    : m_impl(std::make_shared<Impl>(threads, client, std::move(codec), engines,
                                    active_request_table, peers, registry,
                                    options)) {
  peers.OnPeerChange([impl = m_impl] { impl->ScheduleQueueDrain(); });
  peers.OnPeerLeaving([impl = m_impl](std::span<const std::string> leaving) {
    impl->OnPeerLeaving(leaving);
  });
  peers.ShareSuspects(
      m_impl->crash_quarantine,
      [impl = m_impl](std::span<const quarantine::SuspectId> suspects) {
        impl->OnQuarantine(suspects, "peer");
        impl->ScheduleReview();
      });
  peers.ShareRateLimits(m_impl->rate_limits,
                        [impl = m_impl](const std::string& engine) {
                          if (impl->engines.Contains(engine)) {
                            impl->LogLimit(engine, "peer");
                          } else {
                            impl->rate_limits->Forget(engine);
                          }
                        });
  peers.ShareColdEngines(
      m_impl->cold_engines,
      [impl = m_impl](const std::string& engine) { impl->OnPeerCold(engine); });
}

Gateway::~Gateway() = default;

void Gateway::SetConfiguration(
    std::shared_ptr<const routing::Configuration> configuration) {
  m_impl->configuration = std::move(configuration);
  // Time fills the budgets, so they begin before the first request.
  for (const auto& [name, service] : m_impl->configuration->services()) {
    m_impl->GetRetryBudget(name);
  }
  // The configuration may have changed the engine speeds.
  m_impl->models.clear();
  m_impl->ApplyEarlyRegistrations();
  m_impl->ApplyColdLimits();
}

std::shared_ptr<const routing::Configuration> Gateway::configuration() const {
  return m_impl->configuration;
}

void Gateway::SetRetryLimits(const scheduling::RetryLimits& limits) {
  m_impl->options.retry_limits = limits;
  for (auto& [service, budget] : m_impl->budgets) budget.SetLimits(limits);
}

void Gateway::SetRegions(std::map<FailureDomain, std::string> regions) {
  m_impl->options.regions = std::move(regions);
  m_impl->ScheduleQueueDrain();
}

void Gateway::NoteEnginesChanged() {
  m_impl->ForgetGoneLimits();
  m_impl->engine_queries.Forget([impl = m_impl.get()](const std::string& key) {
    return !impl->engines.Contains(key);
  });
  m_impl->ApplyColdLimits();
  m_impl->ScheduleQueueDrain();
}

void Gateway::Handle(const http::ServerRequest& request,
                     const http::ResponderPtr& responder) {
  m_impl->Handle(request, responder);
}

void Gateway::RefuseLongRequests(TimePoint end) { m_impl->exit_at = end; }

void Gateway::RefuseNewRequests() { m_impl->is_refusing_requests = true; }

size_t Gateway::CountRunning() const { return m_impl->live_requests.size(); }

size_t Gateway::CountQueued() const { return m_impl->queue.size(); }

size_t Gateway::CountQuarantined() const {
  return m_impl->crash_quarantine->CountQuarantined();
}

void Gateway::AbortAll() {
  std::vector<LiveRequestPtr> open;
  for (const auto& [number, live] : m_impl->live_requests) open.push_back(live);
  for (const LiveRequestPtr& live : open) m_impl->OnDeadline(live);
}

}  // namespace peridotshelf::gateway
