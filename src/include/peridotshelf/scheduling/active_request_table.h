/// What runs at each engine, as this entry knows it: its own requests exactly,
/// those of other entries from what they send.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// One request, or one part of a reading, at one engine.
struct ActiveRequest {
  /// Unique at the entry that runs it.
  uint64_t id = 0;
  /// The prompt is not read yet.
  bool reading = true;
  /// A part that another engine's request has read here; writes nothing.
  bool is_part = false;
  /// A pause was over the limit already, so another one costs nothing.
  bool is_late = false;
  /// Prompt and output tokens that it keeps in the engine's memory.
  int64_t memory_tokens = 0;
  /// The longest pause between events that still is on time.
  Millis max_pause_ms = 0;
  /// The pause at which its caller gives up.
  Millis patience_ms = 0;
  /// What an answer on time is worth.
  double value = 0;
  /// Predicted.
  TimePoint prefill_end{};
  /// Predicted.
  TimePoint end{};
};

/// A stream that a further reading at its engine might delay.
struct DecodingRequest {
  Millis max_pause_ms = 0;
  Millis patience_ms = 0;
  /// Only its caller's giving up can still cost something.
  bool is_late = false;
  double value = 0;
};

/// The sum of what is known of one engine at one moment.
struct EngineLoad {
  /// Requests that hold one of the engine's places.
  int32_t running = 0;
  /// Parts of readings for requests at other engines.
  int32_t parts = 0;
  int64_t memory_tokens = 0;
  int64_t context_tokens = 0;
  /// Until all that is to be read is read.
  Millis backlog_ms = 0;
  std::vector<DecodingRequest> decoding_requests;
  /// When its requests are predicted to end, in no order.
  std::vector<TimePoint> ends;
};

/// Not thread-safe: belongs to the thread of its entry.
class ActiveRequestTable {
 public:
  /// Adds or replaces own work at `engine`.
  void Put(const std::string& engine, const ActiveRequest& work);
  /// The own work at `engine`, or null.
  ActiveRequest* Find(const std::string& engine, uint64_t id);
  void Remove(const std::string& engine, uint64_t id);
  /// All own work at `engine`.
  std::span<const ActiveRequest> LocalRequestsAt(std::string_view engine) const;
  /// Engines with own work.
  std::vector<std::string> EnginesWithLocalRequests() const;

  /// Replaces what is known of `peer`'s work at `engine`.
  void SetPeerRequests(const std::string& peer, const std::string& engine,
                       std::vector<ActiveRequest> works);
  /// Forgets all work of a peer that is silent or gone.
  void RemovePeer(const std::string& peer);

  /// What runs at `engine` at `now`. Work of peers well past its predicted end
  /// is left out: its end may have been missed.
  EngineLoad ComputeLoad(std::string_view engine, TimePoint now) const;

 private:
  /// What each sender has at one engine; own work is that of `kSelf`.
  using BySender =
      std::map<std::string, std::vector<ActiveRequest>, std::less<>>;
  static constexpr std::string_view kSelf = "";

  std::vector<ActiveRequest>* FindWorks(std::string_view engine,
                                        std::string_view sender);
  void Erase(const std::string& engine, std::string_view sender);

  std::map<std::string, BySender, std::less<>> m_engines;
};

}  // namespace peridotshelf::scheduling
