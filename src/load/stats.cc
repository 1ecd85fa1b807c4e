#include "peridotshelf/load/stats.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace peridotshelf::load {
namespace {

using nlohmann::ordered_json;

constexpr double kMillisecondsPerSecond = 1000;

struct NamedQuantile {
  const char* name;
  double q;
};
constexpr std::array<NamedQuantile, 4> kQuantiles = {
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}}};

/// Bucket bounds from 10 microseconds to one hour, each 1% above the last.
std::vector<double> MakeTimeBounds() {
  constexpr double kMin = 1e-5;
  constexpr double kMax = 3600;
  constexpr double kFactor = 1.01;
  return metrics::GeometricBounds(kMin, kMax, kFactor);
}

double QuantileMs(const metrics::HistogramSnapshot& times, double q) {
  return times.Quantile(q) * kMillisecondsPerSecond;
}

double ToSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

double AnswersPerSecond(const LoadStats& stats) {
  const double seconds = ToSeconds(stats.elapsed());
  if (seconds <= 0) return 0;
  return static_cast<double>(stats.Count("ok")) / seconds;
}

template <class... Args>
std::string Format(const char* format, Args... args) {
  char line[160];
  std::snprintf(line, sizeof(line), format, args...);
  return line;
}

std::string FormatRow(const char* name, const metrics::Histogram& histogram) {
  const metrics::HistogramSnapshot times = histogram.Snapshot();
  std::string row = Format("  %-12s %9llu", name,
                           static_cast<unsigned long long>(  // NOLINT
                               times.total));
  for (const NamedQuantile& quantile : kQuantiles) {
    row += Format(" %10.3f", QuantileMs(times, quantile.q));
  }
  return row + "\n";
}

std::string FormatAddedLatency(const metrics::HistogramSnapshot& via_entry,
                               const metrics::HistogramSnapshot& direct) {
  std::string row = Format("  %-12s %9s", "added", "");
  for (const NamedQuantile& quantile : kQuantiles) {
    row += Format(" %10.3f", QuantileMs(via_entry, quantile.q) -
                                 QuantileMs(direct, quantile.q));
  }
  return row + "\n";
}

std::string FormatPart(const LoadStats& stats, size_t part,
                       const LoadStats* direct) {
  const PartStats& times = stats.part(part);
  std::string text =
      Format("%s, prompts of %lld tokens (ms)\n", stats.name().c_str(),
             static_cast<long long>(stats.mix()[part].tokens));  // NOLINT
  text += Format("  %-12s %9s", "", "count");
  for (const NamedQuantile& quantile : kQuantiles) {
    text += Format(" %10s", quantile.name);
  }
  text += "\n" + FormatRow("first token", times.first_token);
  if (direct != nullptr) {
    text += FormatAddedLatency(times.first_token.Snapshot(),
                               direct->part(part).first_token.Snapshot());
  }
  text += FormatRow("gap", times.gap) + FormatRow("whole", times.total_time);
  return text;
}

ordered_json QuantilesToJson(const metrics::Histogram& histogram) {
  const metrics::HistogramSnapshot times = histogram.Snapshot();
  ordered_json out{{"count", times.total}};
  for (const NamedQuantile& quantile : kQuantiles) {
    out[std::string(quantile.name) + "_ms"] = QuantileMs(times, quantile.q);
  }
  return out;
}

ordered_json ToJson(const LoadStats& stats) {
  ordered_json out{{"target", stats.name()},
                   {"elapsed_s", ToSeconds(stats.elapsed())},
                   {"ok_per_s", AnswersPerSecond(stats)}};
  for (const auto& [outcome, count] : stats.Outcomes()) {
    out["outcomes"][outcome] = count;
  }
  out["parts"] = ordered_json::array();
  for (size_t i = 0; i < stats.mix().size(); ++i) {
    out["parts"].push_back(
        {{"tokens", stats.mix()[i].tokens},
         {"first_token", QuantilesToJson(stats.part(i).first_token)},
         {"gap", QuantilesToJson(stats.part(i).gap)},
         {"whole", QuantilesToJson(stats.part(i).total_time)}});
  }
  return out;
}

}  // namespace

PartStats::PartStats()
    : first_token(MakeTimeBounds()),
      gap(MakeTimeBounds()),
      total_time(MakeTimeBounds()) {}

LoadStats::LoadStats(std::string name, std::span<const MixPart> mix)
    : m_name(std::move(name)),
      m_mix(mix.begin(), mix.end()),
      m_outcomes({"outcomes", "", "outcome"},
                 [] { return std::make_unique<metrics::Counter>(); }) {
  for (size_t i = 0; i < m_mix.size(); ++i) {
    m_parts.push_back(std::make_unique<PartStats>());
  }
}

void LoadStats::CountOutcome(std::string_view outcome) {
  m_outcomes.With(outcome).Add();
}

uint64_t LoadStats::Count(std::string_view outcome) const {
  return m_outcomes.With(outcome).Value();
}

std::vector<std::pair<std::string, uint64_t>> LoadStats::Outcomes() const {
  std::vector<std::pair<std::string, uint64_t>> outcomes;
  m_outcomes.ForEach(
      [&outcomes](const std::string& outcome, const metrics::Counter& count) {
        if (count.Value() > 0) outcomes.emplace_back(outcome, count.Value());
      });
  return outcomes;
}

std::string FormatText(const LoadStats& stats, const LoadStats* direct) {
  std::string text =
      Format("%s: %.1f requests answered per second over %.1f s\n",
             stats.name().c_str(), AnswersPerSecond(stats),
             ToSeconds(stats.elapsed()));
  for (const auto& [outcome, count] : stats.Outcomes()) {
    text += Format("  %-24s %llu\n", outcome.c_str(),
                   static_cast<unsigned long long>(count));  // NOLINT
  }
  for (size_t i = 0; i < stats.mix().size(); ++i) {
    text += FormatPart(stats, i, direct);
  }
  if (direct != nullptr) text += "\n" + FormatText(*direct, nullptr);
  return text;
}

std::string FormatJson(const LoadStats& stats, const LoadStats* direct) {
  ordered_json out{{"runs", ordered_json::array({ToJson(stats)})}};
  if (direct != nullptr) out["runs"].push_back(ToJson(*direct));
  return out.dump(2) + "\n";
}

}  // namespace peridotshelf::load
