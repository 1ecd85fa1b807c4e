/// A simulated engine in virtual time. It holds memory for each attempt until
/// the attempt ends or is cancelled. An attempt without a listener stalls.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "explore/call.h"
#include "explore/context.h"
#include "peridotshelf/backend/concepts.h"

namespace peridotshelf::explore {

/// Receives the events of an engine at its side.
struct EngineObserver {
  virtual ~EngineObserver() = default;
  virtual void OnEngineChunk(const AttemptId& attempt, int64_t offset,
                             const std::string& text) = 0;
  virtual void OnEngineEnd(const AttemptId& attempt, bool is_complete,
                           int64_t chunks) = 0;
};

/// One engine. It keeps running when its side dies.
class EngineModel {
 public:
  EngineModel(Context& context, history::BackendId id, EngineObserver& observer)
      : m_context(context), m_id(std::move(id)), m_observer(observer) {}

  const history::BackendId& id() const { return m_id; }
  bool idle() const { return m_runs.empty(); }
  void Run(const AttemptId& attempt, const CallPlan& plan);
  /// Sends the chunks from `offset` on again and continues the attempt. Returns
  /// false if the attempt is not running.
  bool Resume(const AttemptId& attempt, int64_t offset);
  /// Removes the listener of all active attempts until they are resumed.
  void Detach();
  void Cancel(const AttemptId& attempt);
  /// Fails all active attempts and notifies the side of those with a listener.
  void Kill();
  /// Replaces this idle engine by a new one.
  void Rename(history::BackendId id) { m_id = std::move(id); }
  std::vector<backend::EngineStream> Streams() const;

 private:
  struct ActiveRun {
    CallPlan plan;
    int64_t produced = 0;
    bool has_listener = true;
    /// Waits for a listener before the next chunk.
    bool is_stalled = false;
  };

  void Produce(const AttemptId& attempt);
  void End(const AttemptId& attempt, history::ExecutionOutcome outcome);
  void RecordMemory();

  Context& m_context;
  history::BackendId m_id;
  EngineObserver& m_observer;
  std::map<AttemptId, ActiveRun> m_runs;
};

}  // namespace peridotshelf::explore
