/// What was decided about a request, step by step, for `explain`.
#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::attempts {

/// Kinds of decisions and of what led to them.
enum class TraceKind {
  kCandidate,       ///< Placement named an engine; detail says why.
  kNoCandidate,     ///< Placement found none.
  kReserved,        ///< A reservation was asked for.
  kQueued,          ///< The side queued the attempt.
  kGranted,         ///< The side granted it.
  kRefused,         ///< The side refused it.
  kStarted,         ///< The attempt was started.
  kDisconnected,    ///< The connection to the side was lost.
  kResumed,         ///< The stream was asked for again from an offset.
  kCancelled,       ///< The attempt was cancelled.
  kFailed,          ///< The attempt failed.
  kRetryPlanned,    ///< Another round follows after a delay.
  kRetryForbidden,  ///< No other round; detail says why.
  kAnswered,        ///< The final answer.
};

/// The kind's stable name, such as "retry_planned".
std::string_view ToString(TraceKind kind);

/// One step.
struct TraceStep {
  /// Time since the request's admission.
  Duration at{};
  TraceKind kind = TraceKind::kCandidate;
  /// The attempt's number, or -1 for the request as a whole.
  int32_t attempt = -1;
  EngineId engine;
  std::optional<ErrorCode> code;
  std::string detail;
};

/// All steps of one request.
struct RequestTrace {
  RequestId request;
  std::string service;
  std::vector<TraceStep> steps;
};

/// The trace as lines for people.
std::string FormatTrace(const RequestTrace& trace);

/// Keeps the newest traces. Thread-safe.
class TraceRing {
 public:
  /// Keeps at most `capacity` traces.
  explicit TraceRing(size_t capacity) : m_capacity(capacity) {}

  /// Adds a request's trace; the oldest one may be dropped.
  void Add(RequestTrace trace);
  /// The trace of a request, while it is kept.
  std::optional<RequestTrace> Find(const RequestId& request) const;
  /// Number of traces kept.
  size_t size() const;

 private:
  const size_t m_capacity;
  mutable std::mutex m_mutex;
  std::list<RequestTrace> m_traces;
  std::unordered_map<RequestId, std::list<RequestTrace>::iterator> m_index;
};

}  // namespace peridotshelf::attempts
