/// Accounts for the bodies that a process holds.
#pragma once

#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::http {

/// The bytes of all bodies that are held, with one limit. Used by one thread.
class HeldBytes {
 public:
  /// Bodies up to this size may use all of the limit, larger ones seven eighths
  /// of it, so that a few large ones keep no ordinary request out.
  static constexpr size_t kSmallBodyBytes = size_t{64} * 1024;

  explicit HeldBytes(size_t limit = std::numeric_limits<size_t>::max())
      : m_limit(limit) {}

  /// Adds `more` bytes of a body of which `held` bytes are held. Returns false,
  /// and adds nothing, if the limit does not allow it.
  bool TryAdd(size_t held, size_t more);
  /// Adds bytes that are held whatever the limit says.
  void Add(size_t bytes) { m_bytes += bytes; }
  void Remove(size_t bytes, TimePoint now);
  /// Returns the time until a body may be accepted again, by the bytes that
  /// were removed in the last seconds.
  Duration PredictWait(TimePoint now) const;
  size_t bytes() const { return m_bytes; }
  size_t limit() const { return m_limit; }

 private:
  /// Bytes removed in a period that begins at `begin`.
  struct Period {
    TimePoint begin{};
    size_t removed = 0;
  };

  size_t m_limit;
  size_t m_bytes = 0;
  Period m_current;
  Period m_previous;
};

/// The part of the held bytes that belongs to one body; given back at its end.
class HeldBytesLease {
 public:
  HeldBytesLease() = default;
  explicit HeldBytesLease(std::shared_ptr<HeldBytes> total)
      : m_total(std::move(total)) {}
  ~HeldBytesLease() { Clear(); }
  HeldBytesLease(HeldBytesLease&& other) noexcept
      : m_total(std::move(other.m_total)),
        m_bytes(std::exchange(other.m_bytes, 0)) {}
  HeldBytesLease& operator=(HeldBytesLease&& other) noexcept {
    if (this == &other) return *this;
    Clear();
    m_total = std::move(other.m_total);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
  }
  HeldBytesLease(const HeldBytesLease&) = delete;
  HeldBytesLease& operator=(const HeldBytesLease&) = delete;

  /// Adds `bytes`; returns false if the limit does not allow it.
  bool TryAdd(size_t bytes);
  /// Adds `bytes` whatever the limit says.
  void Add(size_t bytes);
  void Remove(size_t bytes);
  /// Gives all bytes back.
  void Clear() { Remove(m_bytes); }

 private:
  std::shared_ptr<HeldBytes> m_total;
  size_t m_bytes = 0;
};

}  // namespace peridotshelf::http
