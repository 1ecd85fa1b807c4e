/// Statistics of a load run and their output as text or JSON.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/load/prompt_pool.h"
#include "peridotshelf/metrics/instruments.h"
#include "peridotshelf/metrics/registry.h"

namespace peridotshelf::load {

/// Latency histograms of one part of the mix, in seconds.
struct PartStats {
  PartStats();
  /// Time to first token.
  metrics::Histogram first_token;
  /// Time between consecutive pieces of an answer, as received.
  metrics::Histogram gap;
  /// Time to the end of the answer.
  metrics::Histogram total_time;
};

/// Collects statistics; thread-safe.
class LoadStats {
 public:
  /// `name` is the target of the requests: "entry" or "direct".
  LoadStats(std::string name, std::span<const MixPart> mix);

  /// Counts a request that ended with "ok", "wrong_answer" or an error code.
  void CountOutcome(std::string_view outcome);
  PartStats& part(size_t part) { return *m_parts[part]; }
  const PartStats& part(size_t part) const { return *m_parts[part]; }
  void SetElapsed(Duration elapsed) { m_elapsed = elapsed; }

  const std::string& name() const { return m_name; }
  std::span<const MixPart> mix() const { return m_mix; }
  Duration elapsed() const { return m_elapsed; }
  /// Returns the number of requests with this outcome.
  uint64_t Count(std::string_view outcome) const;
  /// Returns all outcomes that occurred, with their counts.
  std::vector<std::pair<std::string, uint64_t>> Outcomes() const;

 private:
  std::string m_name;
  std::vector<MixPart> m_mix;
  std::vector<std::unique_ptr<PartStats>> m_parts;
  mutable metrics::Family<metrics::Counter> m_outcomes;
  Duration m_elapsed{};
};

/// Formats a table of outcomes and latency quantiles. If `direct` is not null,
/// adds the difference of each time-to-first-token quantile from `direct`, and
/// the table of `direct`.
std::string FormatText(const LoadStats& stats, const LoadStats* direct);
/// Formats the outcomes and quantiles of `stats`, and of `direct` if not null,
/// as one JSON object.
std::string FormatJson(const LoadStats& stats, const LoadStats* direct);

}  // namespace peridotshelf::load
