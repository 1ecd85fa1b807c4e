/// Counters, gauges and histograms that any thread may change. Each is kept in
/// shards, each under its own lock, so that threads rarely wait for another.
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

/// A number that stays the same for the calling thread; threads get ascending
/// numbers.
size_t ThreadNumber();

/// One `T` for each group of threads.
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

/// A sum that only grows.
class Counter {
 public:
  void Add(uint64_t amount = 1);
  uint64_t Value() const;

 private:
  detail::Sharded<uint64_t> m_total;
};

/// A sum that grows and shrinks.
class Gauge {
 public:
  void Add(int64_t amount);
  int64_t Value() const;

 private:
  detail::Sharded<int64_t> m_total;
};

/// What a histogram holds at one moment.
struct HistogramSnapshot {
  /// Ascending; bucket i holds values below bounds[i] and at least
  /// bounds[i - 1].
  std::vector<double> bounds;
  /// One more than bounds: the last holds values of the last bound or more.
  std::vector<uint64_t> counts;
  double sum = 0;
  uint64_t total = 0;

  /// The value below which a fraction `q` of the values lies, interpolated
  /// within its bucket; 0 when empty.
  double Quantile(double q) const;
};

/// Counts values by size, over Boost.Histogram.
class Histogram {
 public:
  /// `bounds` ascend and are at least two.
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

/// Bounds from `min` on, each `factor` times the one before, to `max` or just
/// above.
std::vector<double> GeometricBounds(double min, double max, double factor);

}  // namespace peridotshelf::metrics
