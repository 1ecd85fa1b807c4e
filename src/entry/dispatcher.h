/// Takes each request from admission to its final answer.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "entry/placement.h"
#include "entry/requests.h"
#include "entry/side_links.h"
#include "peridotshelf/attempts/circuit_breaker.h"
#include "peridotshelf/attempts/request_state_machine.h"
#include "peridotshelf/attempts/trace.h"
#include "peridotshelf/base/sharded_map.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::entry {

/// Runs requests at sides and gives each exactly one final answer: feeds
/// frames, connections and time to each request's `RequestStateMachine` and
/// carries out its commands. Thread-safe.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
 public:
  Dispatcher(io::IoThreads& threads, const FailureDomain& local_domain)
      : m_threads(threads), m_placer(local_domain), m_traces(kTracesKept) {}

  /// Must be called once, before the first request.
  void SetLinks(std::shared_ptr<SideLinks> links) {
    m_links = std::move(links);
  }

  void Submit(const control::ControlStatePtr& state, CompletionRequest request,
              AnswerCallbacks answer);
  void SubmitCall(const control::ControlStatePtr& state, ServiceRequest request,
                  AnswerCallbacks answer);
  /// The caller went away: its work is cancelled.
  void Abandon(const RequestId& id);

  /// The platform's newest list of hosts.
  void UpdateHosts(std::span<const platform::HostEntry> hosts) {
    m_placer.UpdateHosts(hosts);
  }
  /// A frame came from a host's side.
  void OnFrame(const HostId& host, wire::Frame frame);
  /// The connection to a host's side was lost.
  void OnLost(const HostId& host);
  /// A new connection to a host's side is open.
  void OnOpened(const HostId& host);
  /// Requests not answered yet.
  size_t RunningCount() const { return m_open.Size(); }
  /// What was decided about a request, running or among the newest ended.
  std::optional<attempts::RequestTrace> Explain(const RequestId& id) const;

 private:
  static constexpr size_t kTracesKept = 4096;

  /// One request until its final answer, under its own lock.
  struct Open {
    mutable std::mutex mutex;
    RequestId id;
    control::ControlStatePtr state;
    /// One of the two.
    std::optional<CompletionRequest> completion;
    std::optional<ServiceRequest> call;
    bool unrepeatable = false;
    AnswerCallbacks answer;
    /// Given back with the request.
    TeamHoldPtr team_hold;
    std::optional<attempts::RequestStateMachine> life;
    /// By attempt number.
    std::map<int32_t, EngineId> engines;
    std::map<int32_t, std::string> start_processes;
    /// When the next tick is due; the earliest of those under way.
    std::optional<TimePoint> tick_at;
  };
  using OpenPtr = std::shared_ptr<Open>;

  void Begin(const OpenPtr& open, const std::string& service,
             const CallerTerms& terms);
  /// Feeds one event to a request and carries out what follows.
  template <class E>
  void Feed(const OpenPtr& open, E event);
  template <class E>
  void FeedAll(const E& event);
  /// Feeds an event to its attempt's request; false if that is answered.
  template <class E>
  bool FeedTo(E event);
  void OnGranted(const HostId& host, const wire::Granted& granted);
  void OnChunk(wire::Chunk chunk);
  void OnFailed(const wire::Failed& failed);
  void CarryOut(Open& open, attempts::Commands commands);
  void Handle(Open& open, const attempts::Place& command,
              attempts::Commands& more);
  void Handle(Open& open, const attempts::Reserve& command,
              attempts::Commands& more);
  void Handle(Open& open, const attempts::Start& command,
              attempts::Commands& more);
  void Handle(Open& open, const attempts::Resume& command,
              attempts::Commands& more);
  void Handle(Open& open, const attempts::Cancel& command,
              attempts::Commands& more);
  void Handle(Open& open, const attempts::DeliverChunk& command,
              attempts::Commands& more);
  void Handle(Open& open, const attempts::Answer& command,
              attempts::Commands& more);
  attempts::PlacementReply Choose(Open& open, const attempts::Place& command);
  attempts::PlacementReply PlaceCall(const Open& open,
                                     const attempts::Place& command);
  attempts::PlacementReply PlacePrompt(Open& open,
                                       const attempts::Place& command);
  void NoteLoad(const wire::Frame& frame);
  void Unsent(Open& open, const AttemptId& attempt, const HostId& host,
              attempts::Commands& more);
  attempts::ReportedVersions HeardFor(const Open& open) const;
  void ScheduleTick(const OpenPtr& open);
  void NoteHealth(const AttemptId& attempt, bool healthy);
  std::shared_ptr<attempts::RetryBudget> BudgetOf(
      const control::ControlState& state, const std::string& service);
  std::shared_ptr<attempts::CircuitBreaker> BreakerOf(const EngineId& engine);

  io::IoThreads& m_threads;
  Placer m_placer;
  std::shared_ptr<SideLinks> m_links;
  ShardedMap<RequestId, OpenPtr> m_open;
  attempts::TraceRing m_traces;
  std::mutex m_services_mutex;
  std::map<std::string, std::shared_ptr<attempts::RetryBudget>> m_budgets;
  ShardedMap<EngineId, std::shared_ptr<attempts::CircuitBreaker>> m_breakers;
};

}  // namespace peridotshelf::entry
