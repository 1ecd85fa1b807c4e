/// Processes each request from admission to its final answer.
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
/// frames, connection changes and timer ticks to each request's
/// `RequestStateMachine` and executes its commands. Thread-safe.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
 public:
  Dispatcher(io::IoThreads& threads, const FailureDomain& local_domain)
      : m_threads(threads), m_placer(local_domain), m_traces(kMaxTraces) {}

  /// Must be called once, before the first request.
  void SetLinks(std::shared_ptr<SideLinks> links) {
    m_links = std::move(links);
  }

  void Submit(const control::ControlStatePtr& state, CompletionRequest request,
              AnswerCallbacks answer);
  void SubmitCall(const control::ControlStatePtr& state, ServiceRequest request,
                  AnswerCallbacks answer);
  /// Cancels the request, whose caller has disconnected.
  void OnCallerDisconnected(const RequestId& id);

  /// Applies the platform's newest list of hosts.
  void UpdateHosts(std::span<const platform::HostEntry> hosts) {
    m_placer.UpdateHosts(hosts);
  }
  /// Handles a frame from a host's side.
  void OnFrame(const HostId& host, wire::Frame frame);
  /// Notifies all requests that the connection to a host's side was lost.
  void OnConnectionLost(const HostId& host);
  /// Notifies all requests that a new connection to a host's side is open.
  void OnConnectionOpened(const HostId& host);
  /// Returns the number of requests without a final answer.
  size_t CountRunning() const { return m_contexts.Size(); }
  /// Returns the trace of a request that is running or among the last
  /// `kMaxTraces` answered ones.
  std::optional<attempts::RequestTrace> FindTrace(const RequestId& id) const;

 private:
  static constexpr size_t kMaxTraces = 4096;

  /// A request without a final answer; `mutex` guards the other members.
  struct RequestContext {
    mutable std::mutex mutex;
    RequestId id;
    control::ControlStatePtr state;
    /// Either `completion` or `call` is set.
    std::optional<CompletionRequest> completion;
    std::optional<ServiceRequest> call;
    bool unrepeatable = false;
    AnswerCallbacks answer;
    /// Released with the final answer.
    TeamAllocationPtr team_allocation;
    std::optional<attempts::RequestStateMachine> state_machine;
    /// Engines by attempt number.
    std::map<int32_t, EngineId> engines;
    /// Side processes that received a start, by attempt number.
    std::map<int32_t, std::string> start_processes;
    /// Time of the earliest scheduled tick.
    std::optional<TimePoint> next_tick;
  };
  using RequestContextPtr = std::shared_ptr<RequestContext>;

  void Begin(const RequestContextPtr& context, const std::string& service,
             const CallerOptions& options);
  /// Feeds an event to a request and executes the resulting commands.
  template <class E>
  void Feed(const RequestContextPtr& context, E event);
  template <class E>
  void FeedToAll(const E& event);
  /// Feeds an event to its attempt's request. Returns false if the request
  /// already has its final answer.
  template <class E>
  bool FeedToRequest(E event);
  void OnGranted(const HostId& host, const wire::Granted& granted);
  void OnChunk(wire::Chunk chunk);
  void OnFailed(const wire::Failed& failed);
  void ExecuteCommands(RequestContext& context, attempts::Commands commands);
  void Handle(RequestContext& context, const attempts::Place& command,
              attempts::Commands& follow_ups);
  void Handle(RequestContext& context, const attempts::Reserve& command,
              attempts::Commands& follow_ups);
  void Handle(RequestContext& context, const attempts::Start& command,
              attempts::Commands& follow_ups);
  void Handle(RequestContext& context, const attempts::Resume& command,
              attempts::Commands& follow_ups);
  void Handle(RequestContext& context, const attempts::Cancel& command,
              attempts::Commands& follow_ups);
  void Handle(RequestContext& context, const attempts::DeliverChunk& command,
              attempts::Commands& follow_ups);
  void Handle(RequestContext& context, const attempts::Answer& command,
              attempts::Commands& follow_ups);
  attempts::PlacementReply ChooseCandidates(RequestContext& context,
                                            const attempts::Place& command);
  attempts::PlacementReply PlaceCall(const RequestContext& context,
                                     const attempts::Place& command);
  attempts::PlacementReply PlacePrompt(RequestContext& context,
                                       const attempts::Place& command);
  void NoteLoad(const wire::Frame& frame);
  void RefuseUnsent(RequestContext& context, const AttemptId& attempt,
                    const HostId& host, attempts::Commands& follow_ups);
  attempts::ReportedVersions ReportedVersionsFor(
      const RequestContext& context) const;
  void ScheduleTick(const RequestContextPtr& context);
  void NoteHealth(const AttemptId& attempt, bool healthy);
  std::shared_ptr<attempts::RetryBudget> RetryBudgetFor(
      const control::ControlState& state, const std::string& service);
  std::shared_ptr<attempts::CircuitBreaker> BreakerFor(const EngineId& engine);

  io::IoThreads& m_threads;
  Placer m_placer;
  std::shared_ptr<SideLinks> m_links;
  ShardedMap<RequestId, RequestContextPtr> m_contexts;
  attempts::TraceRing m_traces;
  std::mutex m_retry_budgets_mutex;
  std::map<std::string, std::shared_ptr<attempts::RetryBudget>> m_retry_budgets;
  ShardedMap<EngineId, std::shared_ptr<attempts::CircuitBreaker>> m_breakers;
};

}  // namespace peridotshelf::entry
