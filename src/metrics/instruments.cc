#include "peridotshelf/metrics/instruments.h"

#include <boost/histogram.hpp>
#include <cmath>

namespace peridotshelf::metrics {
namespace {

using Axis = boost::histogram::axis::variable<double>;
using Counts = decltype(boost::histogram::make_histogram_with(
    std::vector<uint64_t>(), std::declval<Axis>()));

/// A Boost histogram and the sum of its values, which Boost does not track.
struct Buckets {
  std::unique_ptr<Counts> counts;
  double sum = 0;
};

}  // namespace

namespace detail {

size_t ThreadNumber() {
  static std::atomic<size_t> next{0};
  thread_local const size_t number = next++;
  return number;
}

}  // namespace detail

void Counter::Add(uint64_t amount) {
  m_total.Change([amount](uint64_t& total) { total += amount; });
}

uint64_t Counter::Value() const {
  uint64_t sum = 0;
  m_total.ForEach([&sum](uint64_t total) { sum += total; });
  return sum;
}

void Gauge::Add(int64_t amount) {
  m_total.Change([amount](int64_t& total) { total += amount; });
}

int64_t Gauge::Value() const {
  int64_t sum = 0;
  m_total.ForEach([&sum](int64_t total) { sum += total; });
  return sum;
}

double HistogramSnapshot::Quantile(double q) const {
  const double rank = q * static_cast<double>(total);
  double count_below = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    const auto count = static_cast<double>(counts[i]);
    if (count == 0 || count_below + count < rank) {
      count_below += count;
      continue;
    }
    if (i == bounds.size()) return bounds.back();
    const double low = i == 0 ? 0 : bounds[i - 1];
    return low + (bounds[i] - low) * (rank - count_below) / count;
  }
  return 0;
}

struct Histogram::Impl {
  std::vector<double> bounds;
  detail::Sharded<Buckets> shards;
};

Histogram::Histogram(std::span<const double> bounds)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->bounds.assign(bounds.begin(), bounds.end());
}
Histogram::~Histogram() = default;
Histogram::Histogram(Histogram&&) noexcept = default;
Histogram& Histogram::operator=(Histogram&&) noexcept = default;

void Histogram::Observe(double value) {
  m_impl->shards.Change([this, value](Buckets& buckets) {
    if (!buckets.counts) {
      buckets.counts =
          std::make_unique<Counts>(boost::histogram::make_histogram_with(
              std::vector<uint64_t>(), Axis(m_impl->bounds)));
    }
    (*buckets.counts)(value);
    buckets.sum += value;
  });
}

HistogramSnapshot Histogram::Snapshot() const {
  HistogramSnapshot snapshot;
  snapshot.bounds = m_impl->bounds;
  snapshot.counts.resize(m_impl->bounds.size() + 1);
  m_impl->shards.ForEach([&snapshot](const Buckets& buckets) {
    if (!buckets.counts) return;
    // Bin -1 of a Boost histogram counts the values below the first bound.
    for (size_t i = 0; i < snapshot.counts.size(); ++i) {
      const uint64_t count = buckets.counts->at(static_cast<int>(i) - 1);
      snapshot.counts[i] += count;
      snapshot.total += count;
    }
    snapshot.sum += buckets.sum;
  });
  return snapshot;
}

std::vector<double> GeometricBounds(double min, double max, double factor) {
  std::vector<double> bounds = {min};
  while (bounds.back() < max) bounds.push_back(bounds.back() * factor);
  return bounds;
}

}  // namespace peridotshelf::metrics
