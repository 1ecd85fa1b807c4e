/// Trace of the decisions about a request, shown by `explain`.
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

/// Kinds of decisions and of the events that led to them.
enum class TraceKind {
  kCandidate,       ///< Placement chose an engine; detail has the reason.
  kNoCandidate,     ///< Placement found no engine.
  kReserved,        ///< A reservation was requested.
  kQueued,          ///< The side queued the attempt.
  kGranted,         ///< The side granted the reservation.
  kRefused,         ///< The side refused the attempt.
  kStarted,         ///< The attempt was started.
  kDisconnected,    ///< The connection to the side was lost.
  kResumed,         ///< The stream was resumed from an offset.
  kCancelled,       ///< The attempt was cancelled.
  kFailed,          ///< The attempt failed.
  kRetryPlanned,    ///< A new placement follows after a delay.
  kRetryForbidden,  ///< No new placement; detail has the reason.
  kAnswered,        ///< The final answer was given.
};

/// Returns the kind's stable name, such as "retry_planned".
std::string_view ToString(TraceKind kind);

/// One step of a trace.
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

/// Returns the trace as human-readable lines.
std::string FormatTrace(const RequestTrace& trace);

/// Keeps the newest traces. Thread-safe.
class TraceRing {
 public:
  /// Keeps at most `capacity` traces.
  explicit TraceRing(size_t capacity) : m_capacity(capacity) {}

  /// Adds a request's trace. Drops the oldest trace if the ring is full.
  void Add(RequestTrace trace);
  /// Returns the trace of a request, if it is still kept.
  std::optional<RequestTrace> Find(const RequestId& request) const;
  /// Returns the number of traces kept.
  size_t size() const;

 private:
  const size_t m_capacity;
  mutable std::mutex m_mutex;
  std::list<RequestTrace> m_traces;
  std::unordered_map<RequestId, std::list<RequestTrace>::iterator> m_index;
};

}  // namespace peridotshelf::attempts
