#include "fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotshelf::scheduling {
namespace {

/// Waiting requests are tried again at this interval.
constexpr Duration kRetryInterval = std::chrono::milliseconds(20);
/// Callers disconnect after this many objectives without an event.
constexpr int kPatience = 4;
/// Value of a request beyond that of its prompt, in tokens.
constexpr double kTokensPerValue = 10000;

Duration FromMillis(Millis millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

}  // namespace

FleetSimulation::FleetSimulation(const FleetOptions& options)
    : m_options(options),
      m_model(options.speed),
      m_random(options.seed),
      m_engines(options.engines),
      m_tables(options.entries),
      m_waiting(options.entries),
      m_results(options.traffic.size()) {
  for (size_t i = 0; i < m_engines.size(); ++i) {
    m_engines[i].name = std::to_string(i);
  }
}

void FleetSimulation::At(TimePoint time, std::function<void()> action) {
  m_events.emplace(time, std::move(action));
}

std::vector<ServedTraffic> FleetSimulation::Run(Duration duration) {
  m_end = m_now + duration;
  for (size_t i = 0; i < m_options.traffic.size(); ++i) {
    At(m_now + FromMillis(DrawInterval(m_options.traffic[i])),
       [this, i] { Arrive(i); });
  }
  RetryWaiting();
  while (!m_events.empty()) {
    auto next = m_events.extract(m_events.begin());
    m_now = next.key();
    next.mapped()();
  }
  return m_results;
}

Millis FleetSimulation::DrawInterval(const SimulatedTraffic& traffic) {
  constexpr double kMillisPerSecond = 1000;
  return std::exponential_distribution<double>(traffic.per_second)(m_random) *
         kMillisPerSecond;
}

void FleetSimulation::Arrive(size_t index) {
  if (m_now >= m_end) return;
  const SimulatedTraffic& traffic = m_options.traffic[index];
  At(m_now + FromMillis(DrawInterval(traffic)),
     [this, index] { Arrive(index); });
  // The mean of the distribution is that of the prompts.
  const double location =
      std::log(static_cast<double>(traffic.mean_prompt_tokens)) -
      traffic.spread * traffic.spread / 2;
  const double tokens =
      std::lognormal_distribution<double>(location, traffic.spread)(m_random);
  Request request;
  request.traffic = index;
  request.entry = m_random() % m_options.entries;
  request.arrived = m_now;
  request.deadline = m_now + FromMillis(kPatience * traffic.objective_ms);
  request.requirements.prompt_tokens =
      std::clamp(std::llround(tokens), 1LL,
                 static_cast<long long>(traffic.max_prompt_tokens));  // NOLINT
  request.requirements.output_tokens = traffic.output_tokens;
  request.requirements.max_pause_ms = traffic.max_pause_ms;
  request.requirements.value =
      1 +
      static_cast<double>(request.requirements.prompt_tokens) / kTokensPerValue;
  request.tokens_left = traffic.output_tokens;
  const uint64_t id = m_next_id++;
  const size_t entry = request.entry;
  m_requests.emplace(id, std::move(request));
  ++m_results[index].asked;
  if (!m_waiting[entry].empty() || !TryStart(id)) {
    m_waiting[entry].push_back(id);
  }
}

bool FleetSimulation::TryStart(uint64_t id) {
  Request& request = m_requests.at(id);
  const Millis objective_ms = m_options.traffic[request.traffic].objective_ms;
  request.requirements.objective_ms =
      std::max(1.0, objective_ms - ToMillis(m_now - request.arrived));
  std::vector<EngineCandidate> candidates(m_engines.size());
  for (size_t i = 0; i < m_engines.size(); ++i) {
    candidates[i].engine = m_engines[i].name;
    candidates[i].model = &m_model;
    candidates[i].load =
        m_tables[request.entry].ComputeLoad(m_engines[i].name, m_now);
    candidates[i].is_same_domain = true;
    // Differs between entries.
    candidates[i].preference =
        static_cast<double>((request.entry * 7919 + i * 104729) % 1000) / 1000;
  }
  const auto plan = PlaceStream(request.requirements, candidates);
  const bool has_waited_long =
      m_now - request.arrived > (request.deadline - request.arrived) / 2;
  if (!plan || !ShouldStart(*plan, candidates, has_waited_long)) return false;
  Start(id, *plan, candidates);
  return true;
}

void FleetSimulation::Start(uint64_t id, const StreamPlan& plan,
                            const std::vector<EngineCandidate>& candidates) {
  Request& request = m_requests.at(id);
  request.engines = {plan.primary};
  request.engines.insert(request.engines.end(), plan.helpers.begin(),
                         plan.helpers.end());
  request.pending_shards = request.engines.size();
  for (const size_t index : request.engines) {
    const bool is_primary = index == plan.primary;
    ActiveRequest active;
    active.id = id;
    active.is_prefill_shard = !is_primary;
    active.memory_tokens = request.requirements.prompt_tokens;
    if (plan.reserve_tokens > 0) {
      active.memory_tokens = plan.reserve_tokens;
    } else if (!is_primary) {
      active.memory_tokens = 0;
    }
    active.max_pause_ms = request.requirements.max_pause_ms;
    active.caller_timeout_ms = ToMillis(request.deadline - request.arrived);
    active.value = request.requirements.value;
    active.prefill_ms = plan.prefill_shard_ms;
    active.prefill_end = m_now + FromMillis(candidates[index].load.backlog_ms +
                                            plan.prefill_shard_ms);
    active.end = m_now + FromMillis(plan.first_event_ms + plan.decode_ms);
    m_tables[request.entry].Put(m_engines[index].name, active);
    ReportLater(request.entry, index, m_options.start_delay);
    m_engines[index].shards.push_back({id, plan.prefill_shard_ms});
    if (!m_engines[index].is_in_pass) StartPass(index);
  }
}

void FleetSimulation::ReportLater(size_t entry, size_t engine, Duration delay) {
  // Reports carry the state at their time of sending.
  const std::string& name = m_engines[engine].name;
  const auto requests = m_tables[entry].LocalRequestsAt(name);
  At(m_now + delay,
     [this, entry, &name,
      state = std::vector<ActiveRequest>(requests.begin(), requests.end())] {
       const std::string sender = "entry " + std::to_string(entry);
       for (size_t i = 0; i < m_tables.size(); ++i) {
         if (i != entry) m_tables[i].SetPeerRequests(sender, name, state);
       }
     });
}

void FleetSimulation::RetryWaiting() {
  for (auto& waiting : m_waiting) {
    std::erase_if(waiting, [this](uint64_t id) {
      return m_now >= m_requests.at(id).deadline || TryStart(id);
    });
  }
  const bool is_done =
      m_now >= m_end && std::all_of(m_waiting.begin(), m_waiting.end(),
                                    [](const auto& w) { return w.empty(); });
  if (!is_done) At(m_now + kRetryInterval, [this] { RetryWaiting(); });
}

void FleetSimulation::StartPass(size_t index) {
  Engine& engine = m_engines[index];
  const int64_t steps =
      engine.decoding.empty() ? 1 : m_options.speed.steps_per_iteration;
  // The time in which an engine reads one step's tokens is about the same for
  // all prompts but the longest.
  const Millis step_ms =
      static_cast<double>(m_options.speed.prefill_tokens_per_step) /
      m_options.speed.prefill_tokens_per_ms;
  Millis prefill_left = step_ms * static_cast<double>(steps);
  Millis pass_ms = engine.decoding.empty()
                       ? 0
                       : m_model.IterationDuration(
                             static_cast<int32_t>(engine.decoding.size()), 0);
  std::vector<uint64_t> read;
  while (!engine.shards.empty() && prefill_left > 0) {
    Shard& shard = engine.shards.back();
    const Millis part = std::min(prefill_left, shard.remaining_ms);
    shard.remaining_ms -= part;
    prefill_left -= part;
    pass_ms += part;
    if (shard.remaining_ms > 0) break;
    read.push_back(shard.request);
    engine.shards.pop_back();
  }
  engine.is_in_pass = pass_ms > 0;
  if (!engine.is_in_pass) return;
  engine.pass_started_at = m_now;
  At(m_now + FromMillis(pass_ms),
     [this, index, read] { EndPass(index, read); });
}

void FleetSimulation::EndPass(size_t index, const std::vector<uint64_t>& read) {
  Engine& engine = m_engines[index];
  const Millis pause = ToMillis(m_now - engine.pass_started_at);
  const std::vector<uint64_t> decoding = engine.decoding;
  for (const uint64_t id : decoding) {
    Request& request = m_requests.at(id);
    request.is_late |= pause > request.requirements.max_pause_ms;
    request.tokens_left -= m_options.speed.steps_per_iteration;
    if (request.tokens_left <= 0) Finish(id);
  }
  for (const uint64_t id : read) {
    if (--m_requests.at(id).pending_shards == 0) NoteFirstEvent(id);
  }
  StartPass(index);
}

void FleetSimulation::NoteFirstEvent(uint64_t id) {
  Request& request = m_requests.at(id);
  const SimulatedTraffic& traffic = m_options.traffic[request.traffic];
  request.is_late |= ToMillis(m_now - request.arrived) > traffic.objective_ms;
  const size_t primary = request.engines.front();
  const std::string& name = m_engines[primary].name;
  ActiveRequest* active = m_tables[request.entry].Find(name, id);
  active->is_prefilling = false;
  ReportLater(request.entry, primary, m_options.end_delay);
  for (size_t i = 1; i < request.engines.size(); ++i) {
    const size_t helper = request.engines[i];
    m_tables[request.entry].Remove(m_engines[helper].name, id);
    ReportLater(request.entry, helper, m_options.end_delay);
  }
  Engine& engine = m_engines[primary];
  engine.decoding.push_back(id);
  if (!engine.is_in_pass) StartPass(primary);
}

void FleetSimulation::Finish(uint64_t id) {
  const Request& request = m_requests.at(id);
  const size_t primary = request.engines.front();
  std::erase(m_engines[primary].decoding, id);
  m_tables[request.entry].Remove(m_engines[primary].name, id);
  ReportLater(request.entry, primary, m_options.end_delay);
  if (!request.is_late) ++m_results[request.traffic].on_time;
}

}  // namespace peridotshelf::scheduling
