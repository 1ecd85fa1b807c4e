/// What shows whether an answer that ended with its connection is whole.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "live_request.h"

namespace peridotshelf::gateway {

/// What is known of the process that began an answer, after the answer's end.
enum class AnswerEnd {
  kSameStart,       ///< It runs: it states the same start.
  kSameConnection,  ///< It runs: an idle connection from before is open.
  kOtherProcess,    ///< Another one answers at the address.
  kUnproved,        ///< The engine's id fits, which a restart does not change.
  kNoAnswer,        ///< Nothing answers at the address in time.
};

/// Returns the name of the finding in logs and metrics.
std::string_view ToString(AnswerEnd end);

/// The process of an engine to which an attempt was sent.
struct EngineProcess {
  std::string engine_key;
  std::string engine_id;
  std::string address;
  /// Stated start as Unix time in ms; 0 if not stated.
  int64_t started_unix_ms = 0;

  /// Returns whether the process that answers at the address is another one.
  bool IsReplacedBy(const EngineIdentity& identity) const {
    return identity.is_other_engine ||
           (started_unix_ms != 0 && identity.started_unix_ms &&
            *identity.started_unix_ms != started_unix_ms);
  }
  /// Returns whether it states the same start as this one.
  bool HasStartOf(const EngineIdentity& identity) const {
    return started_unix_ms != 0 && identity.started_unix_ms == started_unix_ms;
  }
};

inline EngineProcess ProcessOf(const Attempt& attempt) {
  return {attempt.engine_key, attempt.engine_id, attempt.address,
          attempt.engine_started_unix_ms};
}

/// An attempt whose answer ended with its connection.
struct EndedAttempt {
  std::weak_ptr<LiveRequest> request;
  uint64_t attempt = 0;
};

/// The check of answers of one engine.
struct AnswerEndCheck {
  /// Those that ended before the query under way was sent.
  std::vector<EndedAttempt> current;
  /// Those that ended later, which the next query decides on.
  std::vector<EndedAttempt> next;
};

/// A service whose engines sent an answer without length.
struct ServiceWithoutLength {
  TimePoint seen_at{};
  /// Its engines state the start of their process when asked.
  bool states_start = false;
};

}  // namespace peridotshelf::gateway
