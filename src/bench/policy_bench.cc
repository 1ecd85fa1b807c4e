// Compares placement policies under load in virtual time.
// Usage: policy_bench [SECTION...], with the sections load, overload, deaths,
// prefix, ablation and cost; the default is all. Seeds are fixed.
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

constexpr double kRunSeconds = 240;
/// Requests that arrive earlier find a nearly idle fleet and are not counted.
constexpr double kWarmUpSeconds = 40;
constexpr uint64_t kSeed = 20261203;
constexpr uint64_t kRuns = 3;

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(fraction * last)];
}

/// Results, added up over runs.
struct Summary {
  std::vector<double> short_slowdowns;
  std::vector<double> long_first_tokens;
  std::vector<double> long_idle_first_tokens;
  int request_count = 0;
  int answered = 0;
  int refused = 0;
  int timed_out = 0;
  int died = 0;
  /// Seconds that the requests answered in time would take on an idle engine.
  double useful_seconds = 0;
  /// Prompt tokens found in a prefix cache, and all prompt tokens.
  double cached_tokens = 0;
  double prompt_tokens = 0;
  /// The same for prompts that are not long.
  double not_long_cached_tokens = 0;
  double not_long_prompt_tokens = 0;
  /// Busy time of the busiest engine divided by the mean, summed over runs.
  double imbalance_sum = 0;
  int runs = 0;

  double CachedFraction() const { return cached_tokens / prompt_tokens; }
  double NotLongCachedFraction() const {
    return not_long_cached_tokens / not_long_prompt_tokens;
  }
  double Imbalance() const { return imbalance_sum / runs; }
};

void AddResult(const SimulationResult& result, const EngineModelCosts& costs,
               Summary& summary) {
  for (const SimOutcome& outcome : result.outcomes) {
    const SimRequest& request = outcome.request;
    if (request.arrival < kWarmUpSeconds) continue;
    summary.request_count += 1;
    if (outcome.kind == Kind::kRefused) summary.refused += 1;
    if (outcome.kind == Kind::kTimedOut) summary.timed_out += 1;
    if (outcome.kind == Kind::kEngineDied) summary.died += 1;
    if (outcome.kind != Kind::kAnswered) continue;
    summary.answered += 1;
    summary.cached_tokens += static_cast<double>(outcome.cached_tokens);
    summary.prompt_tokens += static_cast<double>(request.prompt_tokens);
    if (!policy::IsLong(request.size_class)) {
      summary.not_long_cached_tokens +=
          static_cast<double>(outcome.cached_tokens);
      summary.not_long_prompt_tokens +=
          static_cast<double>(request.prompt_tokens);
    }
    const IdleEngineLatency idle = SimulateOnIdleEngine(request, costs);
    summary.useful_seconds += idle.total;
    if (request.size_class == SizeClass::kShort) {
      summary.short_slowdowns.push_back((outcome.end - request.arrival) /
                                        idle.total);
    } else if (policy::IsLong(request.size_class)) {
      summary.long_first_tokens.push_back(outcome.first_token -
                                          request.arrival);
      summary.long_idle_first_tokens.push_back(idle.first_token);
    }
  }
  const auto& busy = result.busy_seconds;
  const double total = std::accumulate(busy.begin(), busy.end(), 0.0);
  summary.imbalance_sum += *std::max_element(busy.begin(), busy.end()) *
                           static_cast<double>(busy.size()) / total;
  summary.runs += 1;
}

/// Returns the rate in requests per second that keeps all engines busy with
/// full batches.
double MeasureCapacity(const Deployment& deployment) {
  SimulationOptions options;
  options.deployment = deployment;
  options.policy = PolicyKind::kLeastLoaded;
  options.disable_deadlines = true;
  const double rate = 4.0 * deployment.engines;
  const auto requests =
      MakeWorkload(rate, 90, kSeed, {}, deployment.memory_tokens);
  const SimulationResult result = Simulate(options, requests);
  const double busy = std::accumulate(result.busy_seconds.begin(),
                                      result.busy_seconds.end(), 0.0);
  return static_cast<double>(requests.size()) * deployment.engines / busy;
}

/// Adds up the results of kRuns runs with different seeds.
Summary RunWithAllSeeds(SimulationOptions options, double rate,
                        const TrafficMix& mix) {
  Summary summary;
  for (uint64_t run = 0; run < kRuns; ++run) {
    options.seed = kSeed + run;
    const auto requests = MakeWorkload(rate, kRunSeconds, options.seed, mix,
                                       options.deployment.memory_tokens);
    AddResult(Simulate(options, requests), options.costs, summary);
  }
  return summary;
}

const char* PolicyLabel(PolicyKind kind) {
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

constexpr PolicyKind kComparedPolicies[] = {PolicyKind::kPeridotshelf,
                                            PolicyKind::kRoundRobin,
                                            PolicyKind::kLeastLoaded};

/// Prints the slowdown of short requests in mixed traffic and its ratio to that
/// of the same requests alone, and the time to first token of long requests and
/// its ratio to that on an idle engine.
void PrintRow(const char* name, const Summary& mixed, const Summary& alone) {
  const auto& slowdowns = mixed.short_slowdowns;
  const double alone_p95 = Percentile(alone.short_slowdowns, 0.95);
  const double alone_p99 = Percentile(alone.short_slowdowns, 0.99);
  const double long_p95 = Percentile(mixed.long_first_tokens, 0.95);
  const double idle_p95 = Percentile(mixed.long_idle_first_tokens, 0.95);
  std::printf(
      "| %s | %.2f | %.2f | %.2f | %.2f | %.1f | %.2f | %d | %d | %d | %d "
      "|\n",
      name, Percentile(slowdowns, 0.95),
      Percentile(slowdowns, 0.95) / alone_p95, Percentile(slowdowns, 0.99),
      Percentile(slowdowns, 0.99) / alone_p99, long_p95,
      idle_p95 > 0 ? long_p95 / idle_p95 : 0.0, mixed.answered, mixed.refused,
      mixed.timed_out, mixed.died);
}

void PrintHeader() {
  std::printf(
      "| policy | short slowdown p95 | over alone | p99 | over alone | long "
      "first token p95, s | over idle | answered | refused | late | engine "
      "died |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void MeasureLoad(const Deployment& deployment, double capacity) {
  for (const double load : {0.5, 0.8, 0.95, 1.5}) {
    std::printf("\n%s, load %.0f%% (%.1f requests/s)\n\n",
                deployment.name.c_str(), load * 100, load * capacity);
    PrintHeader();
    for (const PolicyKind kind : kComparedPolicies) {
      SimulationOptions options;
      options.deployment = deployment;
      options.policy = kind;
      const Summary alone =
          RunWithAllSeeds(options, load * capacity, {true, false});
      const Summary mixed = RunWithAllSeeds(options, load * capacity, {});
      PrintRow(PolicyLabel(kind), mixed, alone);
    }
  }
}

void MeasureOverload(const Deployment& deployment, double capacity) {
  const double seconds = kRuns * (kRunSeconds - kWarmUpSeconds);
  std::printf(
      "\n%s, load 150%%: answered in time over what the fleet can serve (%.0f "
      "requests)\n\n| policy | by requests | by idle-engine seconds over those "
      "of 100%% load | refused | late |\n|---|---|---|---|---|\n",
      deployment.name.c_str(), capacity * seconds);
  double servable_seconds = 0;
  for (uint64_t run = 0; run < kRuns; ++run) {
    const auto requests = MakeWorkload(capacity, kRunSeconds, kSeed + run, {},
                                       deployment.memory_tokens);
    for (const SimRequest& request : requests) {
      if (request.arrival < kWarmUpSeconds) continue;
      servable_seconds += SimulateOnIdleEngine(request, {}).total;
    }
  }
  for (const PolicyKind kind : kComparedPolicies) {
    SimulationOptions options;
    options.deployment = deployment;
    options.policy = kind;
    const Summary summary = RunWithAllSeeds(options, 1.5 * capacity, {});
    std::printf("| %s | %.2f | %.2f | %d | %d |\n", PolicyLabel(kind),
                summary.answered / (capacity * seconds),
                summary.useful_seconds / servable_seconds, summary.refused,
                summary.timed_out);
  }
}

void MeasureEngineDeaths(const Deployment& deployment, double capacity) {
  std::printf("\n%s, load 80%%, an engine dies each 30 s for 30 s\n\n",
              deployment.name.c_str());
  PrintHeader();
  for (const PolicyKind kind : kComparedPolicies) {
    SimulationOptions options;
    options.deployment = deployment;
    options.policy = kind;
    for (double at = 50; at < kRunSeconds; at += 30) {
      options.engine_deaths.push_back(at);
    }
    const Summary alone =
        RunWithAllSeeds(options, 0.8 * capacity, {true, false});
    PrintRow(PolicyLabel(kind), RunWithAllSeeds(options, 0.8 * capacity, {}),
             alone);
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
    const Summary summary = RunWithAllSeeds(options, 0.5 * capacity, {});
    std::printf("| %s | %.3f | %.3f | %.2f |\n", PolicyLabel(kind),
                summary.CachedFraction(), summary.NotLongCachedFraction(),
                summary.Imbalance());
  }
  SimulationOptions options;
  options.deployment = deployment;
  options.deployment.preset.long_engine_fraction = 0;
  options.features.prefix_affinity = false;
  const Summary summary =
      RunWithAllSeeds(options, 0.8 * capacity, {true, false});
  std::printf("two choices alone, short traffic: imbalance %.2f\n",
              summary.Imbalance());
}

void MeasureAblations(const Deployment& deployment, double capacity) {
  std::printf("\n%s, load 80%%, each mechanism off\n\n",
              deployment.name.c_str());
  PrintHeader();
  SimulationOptions all_enabled;
  all_enabled.deployment = deployment;
  const Summary alone =
      RunWithAllSeeds(all_enabled, 0.8 * capacity, {true, false});
  const auto print_row = [&](const char* name,
                             const SimulationOptions& options) {
    PrintRow(name, RunWithAllSeeds(options, 0.8 * capacity, {}), alone);
  };
  print_row("all", all_enabled);
  const auto print_row_without = [&](const char* name,
                                     bool policy::PlacementFeatures::*feature) {
    SimulationOptions options = all_enabled;
    options.features.*feature = false;
    print_row(name, options);
  };
  using Features = policy::PlacementFeatures;
  print_row_without("prefix affinity", &Features::prefix_affinity);
  print_row_without("bounded load", &Features::bounded_load);
  print_row_without("two choices", &Features::two_choices);
  print_row_without("long pool", &Features::long_pool);
  print_row_without("refusal memory", &Features::refusal_memory);
  print_row_without("hint aging", &Features::hint_aging);
  print_row_without("own domain", &Features::local_domain);
  SimulationOptions options = all_enabled;
  options.engine_priorities = false;
  print_row("engine priorities", options);
  options = all_enabled;
  options.deployment.preset.short_reserve = 0;
  print_row("short reserve", options);
  options = all_enabled;
  options.deployment.preset.max_long_prefills = 1000;
  print_row("long prefill cap", options);
}

/// Measures the wall-clock time of one placement decision while load hints of
/// all engines are in use.
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
  const auto is_selected = [&](const char* section) {
    return sections.empty() || sections.contains(section);
  };
  for (const Deployment& deployment : {Hallstrom(), Cierre()}) {
    const double capacity = MeasureCapacity(deployment);
    std::printf("\n%s: %d engines, capacity %.1f requests/s\n",
                deployment.name.c_str(), deployment.engines, capacity);
    if (is_selected("load")) MeasureLoad(deployment, capacity);
    if (is_selected("overload")) MeasureOverload(deployment, capacity);
    if (is_selected("deaths")) MeasureEngineDeaths(deployment, capacity);
    if (is_selected("prefix")) MeasurePrefix(deployment, capacity);
    if (is_selected("ablation")) MeasureAblations(deployment, capacity);
  }
  if (is_selected("cost")) MeasureCost();
}

}  // namespace
}  // namespace peridotshelf::bench

int main(int argc, char** argv) {
  peridotshelf::bench::Run({argv + 1, argv + argc});
  return 0;
}
