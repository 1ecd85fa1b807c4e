/// Tracks the active requests of each engine: the requests of this entry
/// exactly, those of other entries from their reports.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// One request, or one prefill shard of a request, at one engine.
struct ActiveRequest {
  /// Unique within the entry that runs the request.
  uint64_t id = 0;
  /// Whether the prompt is still in prefill.
  bool is_prefilling = true;
  /// Whether this is a prefill shard that a helper engine runs for a request at
  /// another engine; it decodes nothing.
  bool is_prefill_shard = false;
  /// Whether a gap between events already exceeded `max_pause_ms`; further gaps
  /// cost nothing more.
  bool missed_objective = false;
  /// Prompt and output tokens held in the engine's KV cache.
  int64_t memory_tokens = 0;
  /// The longest gap between events that meets the objective.
  Millis max_pause_ms = 0;
  /// The gap between events after which the caller abandons the request.
  Millis caller_timeout_ms = 0;
  /// Value of a response that meets its objective.
  double value = 0;
  /// Engine time that the prefill takes by itself; 0 if unknown.
  Millis prefill_ms = 0;
  /// Predicted end of the prefill.
  TimePoint prefill_end{};
  /// Predicted time of the first event; none for a shard.
  std::optional<TimePoint> first_event_at;
  /// Predicted end of the request.
  TimePoint end{};
};

/// A stream that a further prefill at its engine may delay.
struct DecodingRequest {
  Millis max_pause_ms = 0;
  Millis caller_timeout_ms = 0;
  /// Whether the objective is already missed; a further delay then costs value
  /// only if the caller abandons the request.
  bool missed_objective = false;
  double value = 0;
};

/// Aggregated load of one engine at one point in time.
struct EngineLoad {
  /// Requests that occupy a batch slot.
  int32_t running = 0;
  /// Prefill shards of requests at other engines.
  int32_t prefill_shards = 0;
  int64_t memory_tokens = 0;
  int64_t context_tokens = 0;
  /// Time until all pending prefills are finished. Prefills that entries
  /// started without knowing of each other's add up.
  Millis backlog_ms = 0;
  /// How long a first event is overdue; 0 if none is. The engine then does work
  /// that no entry knows of, such as the prompts of entries that have stopped,
  /// or has stalled. Its further delay is estimated to be as long.
  Millis overdue_ms = 0;
  std::vector<DecodingRequest> decoding_requests;
  /// Predicted ends of the requests, unordered.
  std::vector<TimePoint> predicted_ends;
};

/// Not thread-safe: used only on the entry's thread.
class ActiveRequestTable {
 public:
  /// Adds or replaces a local request at `engine`.
  void Put(const std::string& engine, const ActiveRequest& request);
  /// Returns the local request at `engine`, or null.
  ActiveRequest* Find(const std::string& engine, uint64_t id);
  void Remove(const std::string& engine, uint64_t id);
  /// Returns all local requests at `engine`.
  std::span<const ActiveRequest> LocalRequestsAt(std::string_view engine) const;
  /// Returns the engines that have local requests.
  std::vector<std::string> EnginesWithLocalRequests() const;

  /// Replaces all requests of `peer` at `engine`.
  void SetPeerRequests(const std::string& peer, const std::string& engine,
                       std::vector<ActiveRequest> requests);
  /// Removes all requests of a peer that is unresponsive or has stopped.
  void RemovePeer(const std::string& peer);

  /// Returns the load of `engine` at `now`. Requests of peers well past their
  /// predicted end are left out, because the message that reported their end
  /// may be lost.
  EngineLoad ComputeLoad(std::string_view engine, TimePoint now) const;

 private:
  /// The requests at one engine by the entry that sent them; `kSelf` stands for
  /// this entry.
  using BySender =
      std::map<std::string, std::vector<ActiveRequest>, std::less<>>;
  static constexpr std::string_view kSelf = "";

  std::vector<ActiveRequest>* FindRequests(std::string_view engine,
                                           std::string_view sender);
  void Erase(const std::string& engine, std::string_view sender);

  std::map<std::string, BySender, std::less<>> m_engines;
};

}  // namespace peridotshelf::scheduling
