/// Limits on retries: a budget per service, and the delay before each retry.
#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::attempts {

/// A token bucket filled by first attempts and drained by retries, so that
/// retries stay a fraction of the traffic at any failure rate. Thread-safe.
class RetryBudget {
 public:
  /// Each first attempt adds `fraction` tokens; at most `burst` are kept.
  explicit RetryBudget(double fraction, double burst = kDefaultBurst);

  /// Adds the tokens for a request's first attempt.
  void NoteFirstAttempt();
  /// Takes the token for one retry. Returns false if there is none.
  bool TrySpend();
  /// Returns the number of available tokens.
  double tokens() const;

  /// Retries that an idle service may make in a burst.
  static constexpr double kDefaultBurst = 10.0;

 private:
  const double m_fraction;
  const double m_burst;
  mutable std::mutex m_mutex;
  double m_tokens;
};

/// Bounds of the delay before a retry.
struct BackoffOptions {
  Duration base = std::chrono::milliseconds(10);
  Duration cap = std::chrono::milliseconds(500);
};

/// Returns a delay drawn uniformly between zero and min(cap, base * 2^retry),
/// or nothing if it would not end within `remaining`.
template <std::uniform_random_bit_generator Random>
std::optional<Duration> DrawFullJitterDelay(const BackoffOptions& options,
                                            int32_t retry, Duration remaining,
                                            Random& random) {
  constexpr int32_t kMaxDoublings = 20;
  const int32_t doublings = std::clamp(retry, 0, kMaxDoublings);
  const Duration ceiling =
      std::min(options.cap, options.base * (int64_t{1} << doublings));
  std::uniform_int_distribution<int64_t> draw(0, ceiling.count());
  const Duration delay(draw(random));
  if (delay >= remaining) return std::nullopt;
  return delay;
}

}  // namespace peridotshelf::attempts
