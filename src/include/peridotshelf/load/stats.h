/// What a load run measured, as text for people and JSON for scripts.
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

/// Times of one part of the mix, in seconds.
struct PartStats {
  PartStats();
  metrics::Histogram first_token;
  /// Between one piece of an answer and the next, as they were read.
  metrics::Histogram gap;
  metrics::Histogram whole;
};

/// Collects from any thread.
class LoadStats {
 public:
  /// `name` says where the requests went: "entry" or "direct".
  LoadStats(std::string name, std::span<const MixPart> mix);

  /// A request ended: "ok", "wrong_answer" or an error code.
  void CountOutcome(std::string_view outcome);
  PartStats& part(size_t part) { return *m_parts[part]; }
  const PartStats& part(size_t part) const { return *m_parts[part]; }
  void SetElapsed(Duration elapsed) { m_elapsed = elapsed; }

  const std::string& name() const { return m_name; }
  std::span<const MixPart> mix() const { return m_mix; }
  Duration elapsed() const { return m_elapsed; }
  /// Requests with this outcome.
  uint64_t Count(std::string_view outcome) const;
  /// All outcomes that occurred, with their counts.
  std::vector<std::pair<std::string, uint64_t>> Outcomes() const;

 private:
  std::string m_name;
  std::vector<MixPart> m_mix;
  std::vector<std::unique_ptr<PartStats>> m_parts;
  mutable metrics::Family<metrics::Counter> m_outcomes;
  Duration m_elapsed{};
};

/// A table of quantiles and outcomes. With `direct`, also what `stats` has
/// over it at the median and the 99th percentile.
std::string FormatText(const LoadStats& stats, const LoadStats* direct);
/// The same as one JSON object.
std::string FormatJson(const LoadStats& stats, const LoadStats* direct);

}  // namespace peridotshelf::load
