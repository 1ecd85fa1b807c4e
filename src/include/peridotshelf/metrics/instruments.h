/// Thread-safe counters, gauges and histograms. Each is split into shards with
/// separate locks, so that threads rarely contend for a lock.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <utility>
#include <vector>

namespace peridotshelf::metrics {

namespace detail {

/// Returns the number of the calling thread. Threads are numbered from 0 in the
/// order of their first calls.
size_t ThreadNumber();

/// Holds a `T` for each of `kShards` groups of threads.
template <class T, size_t kShards = 8>
class Sharded {
 public:
  /// Runs `change` on the calling thread's shard.
  template <class F>
  void Change(F&& change) {
    Shard& shard = m_shards[ThreadNumber() % kShards];
    std::scoped_lock lock(shard.mutex);
    change(shard.value);
  }
  /// Runs `visit` on each shard in turn.
  template <class F>
  void ForEach(F&& visit) const {
    for (const Shard& shard : m_shards) {
      std::scoped_lock lock(shard.mutex);
      visit(shard.value);
    }
  }

 private:
  static constexpr size_t kCacheLineBytes = 64;
  struct alignas(kCacheLineBytes) Shard {
    mutable std::mutex mutex;
    T value{};
  };
  std::array<Shard, kShards> m_shards;
};

}  // namespace detail

/// A sum that only increases.
class Counter {
 public:
  void Add(uint64_t amount = 1);
  uint64_t Value() const;

 private:
  detail::Sharded<uint64_t> m_total;
};

/// A sum that can increase and decrease.
class Gauge {
 public:
  void Add(int64_t amount);
  int64_t Value() const;

 private:
  detail::Sharded<int64_t> m_total;
};

/// Contents of a histogram.
struct HistogramSnapshot {
  /// Bucket bounds in ascending order. Bucket i counts the values below
  /// bounds[i] and at least bounds[i - 1].
  std::vector<double> bounds;
  /// Number of values in each bucket. There is one bucket more than bounds; it
  /// counts the values of at least the last bound.
  std::vector<uint64_t> counts;
  double sum = 0;
  uint64_t total = 0;

  /// Returns the value below which a fraction `q` of the values lies,
  /// interpolated within its bucket; 0 if there are no values.
  double Quantile(double q) const;
};

/// Counts values in buckets, using Boost.Histogram.
class Histogram {
 public:
  /// `bounds` contains at least two values in ascending order.
  explicit Histogram(std::span<const double> bounds);
  ~Histogram();
  Histogram(Histogram&&) noexcept;
  Histogram& operator=(Histogram&&) noexcept;

  void Observe(double value);
  HistogramSnapshot Snapshot() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Returns bounds that start at `min` and grow by `factor` up to the first
/// bound of at least `max`.
std::vector<double> GeometricBounds(double min, double max, double factor);

}  // namespace peridotshelf::metrics
