/// What passes into and out of the life of a request: events from sides, the
/// caller and the clock; commands to the process around it.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/base/request_deadline.h"

namespace peridotshelf::attempts {

/// Where an attempt may run. For a plain service, `engine` names the backend
/// server.
struct Candidate {
  EngineId engine;
  HostId host;
  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// What is known when an attempt's answer is whole.
struct Completion {
  int64_t chunks = 0;
  int32_t http_status = 200;
  std::string content_type;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
};

/// Events.

/// Placement's reply to `Place`, best first; without candidates, `error` says
/// why.
struct PlacementReply {
  std::vector<Candidate> candidates;
  Error error{ErrorCode::kNoBackend, {}, false, {}};
};
/// A side granted memory and a slot.
struct Granted {
  AttemptId attempt;
  int64_t epoch = 0;
};
/// A side queued the attempt; the estimate counts from now.
struct Queued {
  AttemptId attempt;
  Duration estimated_start{};
};
/// A side refused. If the attempt was started, only `error.not_run` proves
/// that it did not run.
struct Refused {
  AttemptId attempt;
  Error error;
};
/// Part of an answer; offsets count chunks from 0 within an attempt.
struct ChunkArrived {
  AttemptId attempt;
  int64_t offset = 0;
  std::string data;
};
/// The attempt's answer is whole.
struct Finished {
  AttemptId attempt;
  Completion completion;
};
/// The attempt ended without a whole answer.
struct Failed {
  AttemptId attempt;
  Error error;
};
/// The connection to a side ended or fell silent.
struct ConnectionLost {
  HostId host;
};
/// A new connection to the side is open.
struct ConnectionRestored {
  HostId host;
};
/// The caller hung up.
struct CallerDisconnected {};
/// Time passed.
struct Tick {};

/// Commands.

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
/// Run the attempt. Sent at most once for an attempt, on one connection.
struct Start {
  AttemptId attempt;
  Candidate candidate;
  int64_t epoch = 0;
  Duration remaining{};
};
/// Ask again for the chunks from an offset on.
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
/// The caller's one final answer.
struct Answer {
  Result<Completion> result;
};

using Command =
    std::variant<Place, Reserve, Start, Resume, Cancel, DeliverChunk, Answer>;
using Commands = std::vector<Command>;

}  // namespace peridotshelf::attempts
