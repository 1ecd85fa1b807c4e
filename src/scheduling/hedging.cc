#include "peridotshelf/scheduling/hedging.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::scheduling {
namespace {

/// Number of values after which a new generation of the distribution begins.
/// The generation before it is kept, so that between one and two count.
constexpr size_t kGenerationSize = 250;
/// A generation also ends after this time: older values say little of the
/// engines that run now.
constexpr Duration kGenerationLength = std::chrono::minutes(10);
/// Fewer slower requests than this give no median.
constexpr double kMinSlowerRequests = 5;

metrics::Histogram MakeHistogram() {
  // Buckets 15 % apart are finer than the error of the predictions.
  return metrics::Histogram(metrics::GeometricBounds(0.1, 60, 1.15));
}

double ClampShare(double share) {
  return std::clamp(share, 0.0, kMaxHedgeShare);
}

/// Returns how many values are above `value`, interpolated within its bucket.
double CountAbove(const metrics::HistogramSnapshot& snapshot, double value) {
  double above = 0;
  for (size_t i = 0; i < snapshot.counts.size(); ++i) {
    const auto count = static_cast<double>(snapshot.counts[i]);
    const double low = i == 0 ? 0 : snapshot.bounds[i - 1];
    if (value <= low) {
      above += count;
    } else if (i < snapshot.bounds.size() && value < snapshot.bounds[i]) {
      above +=
          count * (snapshot.bounds[i] - value) / (snapshot.bounds[i] - low);
    }
  }
  return above;
}

}  // namespace

HedgeOptions::Builder& HedgeOptions::Builder::SetRequestShare(double share) {
  m_options.request_share = ClampShare(share);
  return *this;
}

HedgeOptions::Builder& HedgeOptions::Builder::SetEngineTimeShare(double share) {
  m_engine_time_share = ClampShare(share);
  return *this;
}

HedgeOptions::Builder& HedgeOptions::Builder::SetWindow(Duration length) {
  m_options.window = length;
  return *this;
}

HedgeOptions::Builder& HedgeOptions::Builder::SetMinSamples(size_t samples) {
  m_options.min_samples = std::max<size_t>(samples, 1);
  return *this;
}

HedgeOptions HedgeOptions::Builder::Build() const {
  HedgeOptions options = m_options;
  options.engine_time_share =
      m_engine_time_share.value_or(options.request_share);
  return options;
}

TimeRatios::TimeRatios() : m_newer(MakeHistogram()), m_older(MakeHistogram()) {}

void TimeRatios::Observe(double ratio, TimePoint now) {
  if (m_newer_count == 0) m_began = now;
  if (m_newer_count >= kGenerationSize || now - m_began > kGenerationLength) {
    m_older = std::exchange(m_newer, MakeHistogram());
    m_older_count = std::exchange(m_newer_count, 0);
    m_began = now;
  }
  m_newer.Observe(ratio);
  ++m_newer_count;
}

metrics::HistogramSnapshot TimeRatios::Merge() const {
  metrics::HistogramSnapshot merged = m_newer.Snapshot();
  const metrics::HistogramSnapshot older = m_older.Snapshot();
  for (size_t i = 0; i < merged.counts.size(); ++i) {
    merged.counts[i] += older.counts[i];
  }
  merged.sum += older.sum;
  merged.total += older.total;
  return merged;
}

double TimeRatios::Quantile(double q) const { return Merge().Quantile(q); }

double TimeRatios::ExpectedRemaining(double ratio) const {
  const metrics::HistogramSnapshot snapshot = Merge();
  const double slower = CountAbove(snapshot, ratio);
  if (slower < kMinSlowerRequests) return std::max(ratio - 1, 0.0);
  const double median_rank =
      1 - slower / (2 * static_cast<double>(snapshot.total));
  return std::max(snapshot.Quantile(median_rank) - ratio, 0.0);
}

HedgePolicy::Usage& HedgePolicy::Expire(std::string_view service,
                                        TimePoint now) {
  auto found = m_usage.find(service);
  if (found == m_usage.end()) {
    found = m_usage.try_emplace(std::string(service)).first;
  }
  Usage& usage = found->second;
  const TimePoint oldest = now - m_options.window;
  while (!usage.requests.empty() && usage.requests.front() <= oldest) {
    usage.requests.pop_front();
  }
  const auto expire = [oldest](std::deque<EngineTime>& times, Millis& sum) {
    while (!times.empty() && times.front().at <= oldest) {
      sum -= times.front().engine_ms;
      times.pop_front();
    }
    // Rounding errors of many sums must not add up.
    if (times.empty()) sum = 0;
  };
  expire(usage.engine_times, usage.engine_ms);
  expire(usage.hedges, usage.hedge_ms);
  return usage;
}

void HedgePolicy::NoteRequest(std::string_view service, TimePoint now) {
  Expire(service, now).requests.push_back(now);
}

void HedgePolicy::NoteEngineTime(std::string_view service, Millis engine_ms,
                                 TimePoint now) {
  Usage& usage = Expire(service, now);
  usage.engine_times.push_back({now, 0, engine_ms});
  usage.engine_ms += engine_ms;
}

void HedgePolicy::NoteAnswer(std::string_view request_class, double ratio,
                             TimePoint now) {
  auto found = m_ratios.find(request_class);
  if (found == m_ratios.end()) {
    found = m_ratios.try_emplace(std::string(request_class)).first;
  }
  found->second.Observe(ratio, now);
}

void HedgePolicy::NoteCancelled(std::string_view request_class, double ratio,
                                TimePoint now) {
  const TimeRatios* ratios = FindRatios(request_class);
  const double remaining =
      ratios == nullptr ? 0 : ratios->ExpectedRemaining(ratio);
  NoteAnswer(request_class, ratio + remaining, now);
}

const TimeRatios* HedgePolicy::FindRatios(
    std::string_view request_class) const {
  const auto found = m_ratios.find(request_class);
  return found == m_ratios.end() ? nullptr : &found->second;
}

std::optional<Millis> HedgePolicy::FindDelay(std::string_view request_class,
                                             Millis predicted_ms) const {
  const TimeRatios* ratios = FindRatios(request_class);
  if (!IsEnabled() || predicted_ms <= 0 || ratios == nullptr ||
      ratios->size() < m_options.min_samples) {
    return std::nullopt;
  }
  return predicted_ms * std::max(ratios->Quantile(m_options.quantile), 1.0);
}

bool HedgePolicy::IsWithinLimit(const HedgeQuestion& question, TimePoint now) {
  const Usage& usage = Expire(question.service, now);
  const double allowed_hedges =
      m_options.request_share * static_cast<double>(usage.requests.size());
  const Millis allowed_ms = m_options.engine_time_share * usage.engine_ms;
  return static_cast<double>(usage.hedges.size() + 1) <= allowed_hedges &&
         usage.hedge_ms + question.engine_ms <= allowed_ms;
}

HedgeVerdict HedgePolicy::Decide(const HedgeQuestion& question, TimePoint now) {
  if (!IsEnabled() || question.attempts_left < 1 || question.is_suspect) {
    return HedgeVerdict::kNotAllowed;
  }
  const auto delay = FindDelay(question.request_class, question.predicted_ms);
  if (!delay || question.elapsed_ms < *delay) return HedgeVerdict::kTooEarly;
  if (question.queued > 0 || !question.hedge_ms) return HedgeVerdict::kLoaded;
  const Millis expected_ms =
      question.predicted_ms *
      FindRatios(question.request_class)
          ->ExpectedRemaining(question.elapsed_ms / question.predicted_ms);
  if (*question.hedge_ms >= std::min(expected_ms, question.time_left_ms)) {
    return HedgeVerdict::kTooEarly;
  }
  if (question.budget_share_left < m_options.kept_budget_share ||
      !IsWithinLimit(question, now)) {
    return HedgeVerdict::kLimitUsed;
  }
  return HedgeVerdict::kSend;
}

void HedgePolicy::NoteHedge(std::string_view service, uint64_t id,
                            Millis engine_ms, TimePoint now) {
  Usage& usage = Expire(service, now);
  usage.hedges.push_back({now, id, engine_ms});
  usage.hedge_ms += engine_ms;
}

void HedgePolicy::NoteHedgeEnd(std::string_view service, uint64_t id,
                               Millis engine_ms) {
  const auto found = m_usage.find(service);
  if (found == m_usage.end()) return;
  Usage& usage = found->second;
  const auto hedge =
      std::find_if(usage.hedges.begin(), usage.hedges.end(),
                   [id](const EngineTime& time) { return time.id == id; });
  if (hedge == usage.hedges.end()) return;
  usage.hedge_ms += engine_ms - hedge->engine_ms;
  hedge->engine_ms = engine_ms;
}

}  // namespace peridotshelf::scheduling
