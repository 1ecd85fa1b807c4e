/// Simulates a fleet of engines and the entries that place streams on it, in
/// virtual time.
///
/// The engines are those of the users' platform: they work in passes, and a
/// pass decodes `steps_per_iteration` steps of all running streams and
/// prefills, the newest shard first, until the steps are used up. The entries
/// decide with `PlaceStream` and `ShouldStart` by what they know of each
/// other's requests.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/stream_placement.h"

namespace peridotshelf::scheduling {

/// A kind of request and how often callers send it to the whole fleet.
struct SimulatedTraffic {
  double per_second = 0;
  int64_t mean_prompt_tokens = 0;
  /// Standard deviation of the logarithm of the prompt's length.
  double spread = 0;
  int64_t max_prompt_tokens = 0;
  int64_t output_tokens = 0;
  Millis objective_ms = 0;
  Millis max_pause_ms = 0;
};

struct FleetOptions {
  size_t entries = 1;
  size_t engines = 1;
  routing::EngineSpeed speed;
  std::vector<SimulatedTraffic> traffic;
  /// Time until the other entries know that a request started.
  Duration start_delay = std::chrono::milliseconds(1);
  /// Time until they know of its first event and of its end.
  Duration end_delay = std::chrono::milliseconds(21);
  uint64_t seed = 1;
};

/// What the callers of one kind of request got.
struct ServedTraffic {
  size_t asked = 0;
  /// First event and all gaps within the objectives.
  size_t on_time = 0;
};

class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetOptions& options);

  /// Plays `duration` of traffic, until its last request has ended. Returns the
  /// results in the order of the traffic.
  std::vector<ServedTraffic> Run(Duration duration);

 private:
  struct Request {
    size_t traffic = 0;
    size_t entry = 0;
    StreamRequirements requirements;
    TimePoint arrived{};
    TimePoint deadline{};
    /// Shards that are not read yet.
    size_t pending_shards = 0;
    /// Engine and its part of the load, the primary engine first.
    std::vector<size_t> engines;
    int64_t tokens_left = 0;
    bool is_late = false;
  };
  struct Shard {
    uint64_t request = 0;
    Millis remaining_ms = 0;
  };
  struct Engine {
    std::string name;
    /// Newest last.
    std::vector<Shard> shards;
    std::vector<uint64_t> decoding;
    bool is_in_pass = false;
    TimePoint pass_started_at{};
  };
  Millis DrawInterval(const SimulatedTraffic& traffic);
  void Arrive(size_t traffic);
  bool TryStart(uint64_t id);
  void Start(uint64_t id, const StreamPlan& plan,
             const std::vector<EngineCandidate>& candidates);
  void RetryWaiting();
  void StartPass(size_t index);
  void EndPass(size_t index, const std::vector<uint64_t>& read);
  void NoteFirstEvent(uint64_t id);
  void Finish(uint64_t id);
  void ReportLater(size_t entry, size_t engine, Duration delay);
  void At(TimePoint time, std::function<void()> action);

  FleetOptions m_options;
  EngineModel m_model;
  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  TimePoint m_end{};
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<Engine> m_engines;
  /// What each entry knows.
  std::vector<ActiveRequestTable> m_tables;
  std::vector<std::deque<uint64_t>> m_waiting;
  std::map<uint64_t, Request> m_requests;
  uint64_t m_next_id = 1;
  std::vector<ServedTraffic> m_results;
};

}  // namespace peridotshelf::scheduling
