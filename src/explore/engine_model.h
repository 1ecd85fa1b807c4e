/// A model engine in virtual time: it runs what it is told and holds memory
/// until the run ends or is cancelled, whoever started it. A run to which
/// nobody listens stalls.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "explore/call.h"
#include "explore/context.h"
#include "peridotshelf/backend/concepts.h"

namespace peridotshelf::explore {

/// What the side beside the engine is told.
struct EngineObserver {
  virtual ~EngineObserver() = default;
  virtual void OnEngineChunk(const AttemptId& attempt, int64_t offset,
                             const std::string& text) = 0;
  virtual void OnEngineEnd(const AttemptId& attempt, bool whole,
                           int64_t chunks) = 0;
};

/// One engine. It lives on when its side dies.
class EngineModel {
 public:
  EngineModel(Context& context, history::BackendId id, EngineObserver& observer)
      : m_context(context), m_id(std::move(id)), m_observer(observer) {}

  const history::BackendId& id() const { return m_id; }
  bool idle() const { return m_runs.empty(); }
  void Run(const AttemptId& attempt, const CallPlan& plan);
  /// Sends all chunks from `offset` on, then goes on as usual. False if the
  /// attempt is not running.
  bool Resume(const AttemptId& attempt, int64_t offset);
  /// Nobody listens to the runs under way until they are resumed.
  void Detach();
  void Cancel(const AttemptId& attempt);
  /// Drops all runs. The side learns it of those it listens to.
  void Kill();
  /// A new engine takes the place of an idle one.
  void Rename(history::BackendId id) { m_id = std::move(id); }
  std::vector<backend::EngineStream> Streams() const;

 private:
  struct Running {
    CallPlan plan;
    int64_t produced = 0;
    bool listened_to = true;
    /// It waits for a listener before it produces more.
    bool stalled = false;
  };

  void Produce(const AttemptId& attempt);
  void End(const AttemptId& attempt, history::ExecutionOutcome outcome);
  void RecordMemory();

  Context& m_context;
  history::BackendId m_id;
  EngineObserver& m_observer;
  std::map<AttemptId, Running> m_runs;
};

}  // namespace peridotshelf::explore
