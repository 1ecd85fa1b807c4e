/// Input and output of the request state machine: events from sides, the
/// caller and the clock, and commands to the process that runs it.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/base/request_deadline.h"

namespace peridotshelf::attempts {

/// An engine that may run an attempt. For a plain service, `engine` names the
/// backend server.
struct Candidate {
  EngineId engine;
  HostId host;
  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// Metadata of an attempt's complete answer.
struct Completion {
  int64_t chunks = 0;
  int32_t http_status = 200;
  std::string content_type;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
};

// Events.

/// Reply to `Place`, best candidate first. Without candidates, `error` gives
/// the reason.
struct PlacementReply {
  std::vector<Candidate> candidates;
  Error error{ErrorCode::kNoBackend, {}, false, {}};
};
/// A side reserved memory and a slot.
struct Granted {
  AttemptId attempt;
  int64_t epoch = 0;
};
/// A side queued the attempt; the estimate is relative to now.
struct Queued {
  AttemptId attempt;
  Duration estimated_start{};
};
/// A side refused the attempt. If the attempt was started, only
/// `error.not_run` guarantees that it did not run.
struct Refused {
  AttemptId attempt;
  Error error;
};
/// A chunk of an answer. Offsets count chunks, from 0 for each attempt.
struct ChunkArrived {
  AttemptId attempt;
  int64_t offset = 0;
  std::string data;
};
/// The attempt's answer is complete.
struct Finished {
  AttemptId attempt;
  Completion completion;
};
/// The attempt ended without a complete answer.
struct Failed {
  AttemptId attempt;
  Error error;
};
/// The connection to a side closed or became unresponsive.
struct ConnectionLost {
  HostId host;
};
/// A new connection to the side is open.
struct ConnectionRestored {
  HostId host;
};
/// The caller disconnected.
struct CallerDisconnected {};
/// The clock reached the time of `RequestStateMachine::NextTickTime`.
struct Tick {};

// Commands.

/// Choose candidates, preferably not among `avoid`; reply with
/// `PlacementReply`.
struct Place {
  std::vector<EngineId> avoid;
};
/// Ask the side for memory and a slot.
struct Reserve {
  AttemptId attempt;
  Candidate candidate;
  Duration remaining{};
};
/// Run the attempt. Sent at most once per attempt, on one connection.
struct Start {
  AttemptId attempt;
  Candidate candidate;
  int64_t epoch = 0;
  Duration remaining{};
};
/// Ask the side for the chunks from an offset on.
struct Resume {
  AttemptId attempt;
  HostId host;
  int64_t from_offset = 0;
};
/// End the attempt at its side.
struct Cancel {
  AttemptId attempt;
  HostId host;
  ErrorCode code = ErrorCode::kCancelled;
};
/// Pass a chunk to the caller.
struct DeliverChunk {
  std::string data;
};
/// The final answer to the caller, given exactly once.
struct Answer {
  Result<Completion> result;
};

using Command =
    std::variant<Place, Reserve, Start, Resume, Cancel, DeliverChunk, Answer>;
using Commands = std::vector<Command>;

}  // namespace peridotshelf::attempts
