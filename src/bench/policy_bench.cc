// Measures the decisions under load in virtual time: policy_bench [SECTION...]
// with sections load, overload, deaths, prefix, ablation and cost; all by
// default. Seeds are fixed.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <numeric>
#include <set>
#include <string>

#include "bench/simulation.h"

namespace peridotshelf::bench {
namespace {

using policy::SizeClass;
using Kind = SimOutcome::Kind;

constexpr double kSeconds = 240;
/// Requests of the first seconds find an empty fleet and are not counted.
constexpr double kWarmUpSeconds = 40;
constexpr uint64_t kSeed = 20261203;
constexpr uint64_t kRuns = 3;

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(part * last)];
}

/// What one run is judged by.
struct Figures {
  std::vector<double> short_slowdowns;
  std::vector<double> long_first_tokens;
  std::vector<double> long_idle_first_tokens;
  int counted = 0;
  int answered = 0;
  int refused = 0;
  int late = 0;
  int died = 0;
  /// Idle-engine seconds of what was answered in time.
  double useful_seconds = 0;
  double cached = 0;
  double prompts = 0;
  /// Of prompts that are not long.
  double cached_others = 0;
  double prompts_others = 0;
  /// The busiest engine's time over the mean, summed over runs.
  double imbalance_sum = 0;
  int runs = 0;

  double CachedPart() const { return cached / prompts; }
  double CachedPartOthers() const { return cached_others / prompts_others; }
  double Imbalance() const { return imbalance_sum / runs; }
};

void Judge(const SimulationResult& result, const EngineModelCosts& costs,
           Figures& figures) {
  for (const SimOutcome& outcome : result.outcomes) {
    const SimRequest& request = outcome.request;
    if (request.arrival < kWarmUpSeconds) continue;
    figures.counted += 1;
    if (outcome.kind == Kind::kRefused) figures.refused += 1;
    if (outcome.kind == Kind::kLate) figures.late += 1;
    if (outcome.kind == Kind::kEngineDied) figures.died += 1;
    if (outcome.kind != Kind::kAnswered) continue;
    figures.answered += 1;
    figures.cached += static_cast<double>(outcome.cached_tokens);
    figures.prompts += static_cast<double>(request.prompt_tokens);
    if (!policy::IsLong(request.size_class)) {
      figures.cached_others += static_cast<double>(outcome.cached_tokens);
      figures.prompts_others += static_cast<double>(request.prompt_tokens);
    }
    const IdleTime idle = TimeOnIdleEngine(request, costs);
    figures.useful_seconds += idle.whole;
    if (request.size_class == SizeClass::kShort) {
      figures.short_slowdowns.push_back((outcome.end - request.arrival) /
                                        idle.whole);
    } else if (policy::IsLong(request.size_class)) {
      figures.long_first_tokens.push_back(outcome.first_token -
                                          request.arrival);
      figures.long_idle_first_tokens.push_back(idle.first_token);
    }
  }
  const auto& busy = result.busy_seconds;
  const double total = std::accumulate(busy.begin(), busy.end(), 0.0);
  figures.imbalance_sum += *std::max_element(busy.begin(), busy.end()) *
                           static_cast<double>(busy.size()) / total;
  figures.runs += 1;
}

/// The rate at which all engines are busy without pause, batches being full.
double CapacityOf(const Deployment& deployment) {
  SimulationOptions options;
  options.deployment = deployment;
  options.policy = PolicyKind::kLeastLoaded;
  options.no_deadlines = true;
  const double rate = 4.0 * deployment.engines;
  const auto requests =
      MakeWorkload(rate, 90, kSeed, {}, deployment.memory_tokens);
  const SimulationResult result = Simulate(options, requests);
  const double busy = std::accumulate(result.busy_seconds.begin(),
                                      result.busy_seconds.end(), 0.0);
  return static_cast<double>(requests.size()) * deployment.engines / busy;
}

/// The figures of kRuns runs, each with a seed of its own.
Figures RunAll(SimulationOptions options, double rate, const Mix& mix) {
  Figures figures;
  for (uint64_t run = 0; run < kRuns; ++run) {
    options.seed = kSeed + run;
    const auto requests = MakeWorkload(rate, kSeconds, options.seed, mix,
                                       options.deployment.memory_tokens);
    Judge(Simulate(options, requests), options.costs, figures);
  }
  return figures;
}

const char* NameOf(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kPeridotshelf:
      return "peridotshelf";
    case PolicyKind::kRoundRobin:
      return "round robin, FIFO";
    case PolicyKind::kLeastLoaded:
      return "least loaded, FIFO";
    case PolicyKind::kOracle:
      return "oracle of caches";
  }
  return "";
}

constexpr PolicyKind kCompared[] = {PolicyKind::kPeridotshelf,
                                    PolicyKind::kRoundRobin,
                                    PolicyKind::kLeastLoaded};

/// Short slowdown beside long traffic over that of the same shorts alone, and
/// long first tokens over those of an empty fleet.
void PrintRow(const char* name, const Figures& mixed, const Figures& alone) {
  const auto& slow = mixed.short_slowdowns;
  const double alone_p95 = Percentile(alone.short_slowdowns, 0.95);
  const double alone_p99 = Percentile(alone.short_slowdowns, 0.99);
  const double long_p95 = Percentile(mixed.long_first_tokens, 0.95);
  const double idle_p95 = Percentile(mixed.long_idle_first_tokens, 0.95);
  std::printf(
      "| %s | %.2f | %.2f | %.2f | %.2f | %.1f | %.2f | %d | %d | %d | %d "
      "|\n",
      name, Percentile(slow, 0.95), Percentile(slow, 0.95) / alone_p95,
      Percentile(slow, 0.99), Percentile(slow, 0.99) / alone_p99, long_p95,
      idle_p95 > 0 ? long_p95 / idle_p95 : 0.0, mixed.answered, mixed.refused,
      mixed.late, mixed.died);
}

void PrintHead() {
  std::printf(
      "| policy | short slowdown p95 | over alone | p99 | over alone | long "
      "first token p95, s | over idle | answered | refused | late | engine "
      "died |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void MeasureLoad(const Deployment& deployment, double capacity) {
  for (const double load : {0.5, 0.8, 0.95, 1.5}) {
    std::printf("\n%s, load %.0f%% (%.1f requests/s)\n\n",
                deployment.name.c_str(), load * 100, load * capacity);
    PrintHead();
    for (const PolicyKind kind : kCompared) {
      SimulationOptions options;
      options.deployment = deployment;
      options.policy = kind;
      const Figures alone = RunAll(options, load * capacity, {true, false});
      const Figures mixed = RunAll(options, load * capacity, {});
      PrintRow(NameOf(kind), mixed, alone);
    }
  }
}

void MeasureOverload(const Deployment& deployment, double capacity) {
  const double seconds = kRuns * (kSeconds - kWarmUpSeconds);
  std::printf(
      "\n%s, load 150%%: answered in time over what the fleet can serve (%.0f "
      "requests)\n\n| policy | by requests | by idle-engine seconds over those "
      "of 100%% load | refused | late |\n|---|---|---|---|---|\n",
      deployment.name.c_str(), capacity * seconds);
  double servable = 0;
  for (uint64_t run = 0; run < kRuns; ++run) {
    const auto requests = MakeWorkload(capacity, kSeconds, kSeed + run, {},
                                       deployment.memory_tokens);
    for (const SimRequest& request : requests) {
      if (request.arrival < kWarmUpSeconds) continue;
      servable += TimeOnIdleEngine(request, {}).whole;
    }
  }
  for (const PolicyKind kind : kCompared) {
    SimulationOptions options;
    options.deployment = deployment;
    options.policy = kind;
    const Figures figures = RunAll(options, 1.5 * capacity, {});
    std::printf("| %s | %.2f | %.2f | %d | %d |\n", NameOf(kind),
                figures.answered / (capacity * seconds),
                figures.useful_seconds / servable, figures.refused,
                figures.late);
  }
}

void MeasureDeaths(const Deployment& deployment, double capacity) {
  std::printf("\n%s, load 80%%, an engine dies each 30 s for 30 s\n\n",
              deployment.name.c_str());
  PrintHead();
  for (const PolicyKind kind : kCompared) {
    SimulationOptions options;
    options.deployment = deployment;
    options.policy = kind;
    for (double at = 50; at < kSeconds; at += 30) {
      options.engine_deaths.push_back(at);
    }
    const Figures alone = RunAll(options, 0.8 * capacity, {true, false});
    PrintRow(NameOf(kind), RunAll(options, 0.8 * capacity, {}), alone);
  }
}

void MeasurePrefix(const Deployment& deployment, double capacity) {
  std::printf(
      "\n%s, load 50%%: prompt tokens found in caches, and the busiest "
      "engine's time over the mean\n\n| policy | cached | cached, long prompts "
      "left "
      "out | imbalance |\n|---|---|---|---|\n",
      deployment.name.c_str());
  for (const PolicyKind kind :
       {PolicyKind::kPeridotshelf, PolicyKind::kOracle, PolicyKind::kRoundRobin,
        PolicyKind::kLeastLoaded}) {
    SimulationOptions options;
    options.deployment = deployment;
    options.policy = kind;
    const Figures figures = RunAll(options, 0.5 * capacity, {});
    std::printf("| %s | %.3f | %.3f | %.2f |\n", NameOf(kind),
                figures.CachedPart(), figures.CachedPartOthers(),
                figures.Imbalance());
  }
  SimulationOptions options;
  options.deployment = deployment;
  options.deployment.preset.long_engine_fraction = 0;
  options.mechanisms.prefix_affinity = false;
  const Figures figures = RunAll(options, 0.8 * capacity, {true, false});
  std::printf("two choices alone, short traffic: imbalance %.2f\n",
              figures.Imbalance());
}

void MeasureAblations(const Deployment& deployment, double capacity) {
  std::printf("\n%s, load 80%%, each mechanism off\n\n",
              deployment.name.c_str());
  PrintHead();
  SimulationOptions all;
  all.deployment = deployment;
  const Figures alone = RunAll(all, 0.8 * capacity, {true, false});
  const auto row = [&](const char* name, const SimulationOptions& options) {
    PrintRow(name, RunAll(options, 0.8 * capacity, {}), alone);
  };
  row("all", all);
  const auto without = [&](const char* name,
                           bool policy::PlacementFeatures::*mechanism) {
    SimulationOptions options = all;
    options.mechanisms.*mechanism = false;
    row(name, options);
  };
  using Mechanisms = policy::PlacementFeatures;
  without("prefix affinity", &Mechanisms::prefix_affinity);
  without("bounded load", &Mechanisms::bounded_load);
  without("two choices", &Mechanisms::two_choices);
  without("long pool", &Mechanisms::long_pool);
  without("refusal memory", &Mechanisms::refusal_memory);
  without("hint aging", &Mechanisms::hint_aging);
  without("own domain", &Mechanisms::local_domain);
  SimulationOptions options = all;
  options.engine_priorities = false;
  row("engine priorities", options);
  options = all;
  options.deployment.preset.short_reserve = 0;
  row("short reserve", options);
  options = all;
  options.deployment.preset.max_long_prefills = 1000;
  row("long prefill cap", options);
}

/// Real time of one decision, with hints of all engines in use.
void MeasureCost() {
  std::printf(
      "\nOne placement decision\n\n| engines | mean, us |\n|---|---|\n");
  for (const int count : {60, 600, 6000}) {
    std::vector<policy::EngineLocation> engines;
    for (int i = 0; i < count; ++i) {
      policy::EngineLocation engine;
      engine.config.id = EngineId("engine-" + std::to_string(i));
      engine.config.model = "m";
      engine.config.memory_tokens = 440'000;
      engine.config.slots = 48;
      engine.failure_domain = FailureDomain(std::to_string(i % 7));
      engines.push_back(engine);
    }
    policy::Placement placement{FailureDomain("0")};
    placement.Update(engines, control::Preset{});
    std::mt19937_64 random(kSeed);
    policy::EngineLoad load;
    load.free_slots = 40;
    constexpr int kDecisions = 200'000;
    std::chrono::nanoseconds spent{};
    for (int i = 0; i < kDecisions; ++i) {
      const uint64_t hashes[] = {random()};
      policy::PlacementRequest request{"m", 4000, 200, hashes, {}};
      const auto before = std::chrono::steady_clock::now();
      const auto placed = placement.Place(request, before, random);
      spent += std::chrono::steady_clock::now() - before;
      load.free_tokens = 200'000 + static_cast<int64_t>(random() % 200'000);
      placement.OnLoad(placed->candidates.front().engine, load, before);
    }
    std::printf("| %d | %.2f |\n", count,
                static_cast<double>(spent.count()) / kDecisions / 1000);
  }
}

void Run(const std::set<std::string>& sections) {
  const auto wanted = [&](const char* section) {
    return sections.empty() || sections.contains(section);
  };
  for (const Deployment& deployment : {Hallstrom(), Cierre()}) {
    const double capacity = CapacityOf(deployment);
    std::printf("\n%s: %d engines, capacity %.1f requests/s\n",
                deployment.name.c_str(), deployment.engines, capacity);
    if (wanted("load")) MeasureLoad(deployment, capacity);
    if (wanted("overload")) MeasureOverload(deployment, capacity);
    if (wanted("deaths")) MeasureDeaths(deployment, capacity);
    if (wanted("prefix")) MeasurePrefix(deployment, capacity);
    if (wanted("ablation")) MeasureAblations(deployment, capacity);
  }
  if (wanted("cost")) MeasureCost();
}

}  // namespace
}  // namespace peridotshelf::bench

int main(int argc, char** argv) {
  peridotshelf::bench::Run({argv + 1, argv + argc});
  return 0;
}
