/// Keeps the retries of all entries together within one limit.
#pragma once

#include <cstddef>
#include <deque>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling {

/// Limit on the retries of all entries together, in any window.
struct RetryLimits {
  /// Retries allowed per request in the window, or in the window before it,
  /// whichever had more.
  double ratio = 0.2;
  /// Additional retries allowed in the window.
  double slack = 0;
  Duration window = std::chrono::seconds(10);

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

/// The retries of one entry at one service. It is a token bucket that starts
/// empty, so that it owes nothing to the process before it, of which it knows
/// nothing:
/// - A request adds half of `ratio`. Time adds half of the entry's part of
///   `slack` in a window.
/// - The bucket holds at most the other halves: half of `ratio` for each
///   request of the last window, and half of the part of `slack`.
///
/// What all entries send in a window is at most what their buckets held as it
/// began and what was added in it. So it is within the limit, wherever the
/// window begins and whichever processes start, end or stand still in it, if
/// the parts of `slack` add up to one (`ComputeLimitPart`).
///
/// A bucket that had room for more at each moment of the last window lends that
/// room to retries beyond what is added, so that failures that last may use the
/// whole limit. A process lends nothing in its first window, in which the one
/// before it may have filled that room.
///
/// A retry is claimed as its attempt fails and leaves the bucket as it is sent,
/// since engines count it then. `part` is the part of the slack that this entry
/// may use, from 0 to 1. Not thread-safe.
class FleetRetryBudget {
 public:
  FleetRetryBudget(const RetryLimits& limits, TimePoint now)
      : m_limits(limits), m_updated_at(now), m_rooms{{now, 0}} {}

  void SetLimits(const RetryLimits& limits) { m_limits = limits; }
  void NoteRequest(TimePoint now, double part);
  /// Claims a retry; returns false if none is left. `TrySend` or `Release` must
  /// follow.
  bool TryClaim(TimePoint now, double part);
  /// Uses a claim for a retry that is sent now. Returns false if the claim has
  /// lapsed, since the bucket holds less by now.
  bool TrySend(TimePoint now, double part);
  /// Returns a claim whose retry is not sent.
  void Release();
  /// Takes back a retry that was sent and reached no engine.
  void Return(TimePoint now, double part);
  /// Returns the number of retries that may be claimed at `now`.
  double Remaining(TimePoint now, double part);
  /// Returns which share of the bucket is not used at `now`; 0 if it can hold
  /// nothing.
  double RemainingShare(TimePoint now, double part);

 private:
  /// What the bucket can hold, and what time adds to it in a window.
  struct SlackPart {
    double held = 0;
    double per_window = 0;
  };

  /// Room of the bucket, and the retries lent until then, at one moment.
  struct Room {
    TimePoint at{};
    double room_and_lent = 0;
  };

  SlackPart DivideSlack(double part) const;
  double Capacity(double part) const;
  void Advance(TimePoint now, double part);
  void Shrink(double part);
  void NoteRoom(TimePoint now, double part);
  /// Returns how many retries the bucket can lend.
  double Lendable() const;

  RetryLimits m_limits;
  TimePoint m_updated_at;
  double m_tokens = 0;
  /// Claimed and neither sent nor released; not in `m_tokens`.
  size_t m_claims = 0;
  /// Claims that lapsed; the next ones to be sent are refused.
  size_t m_lapsed = 0;
  std::deque<TimePoint> m_requests;
  /// Retries lent since the process started.
  double m_lent = 0;
  /// The smallest room of the last window comes first, each later one is
  /// larger.
  std::deque<Room> m_rooms;
};

}  // namespace peridotshelf::scheduling
