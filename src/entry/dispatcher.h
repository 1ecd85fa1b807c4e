/// Takes each request from admission to its final answer.
#pragma once

#include <memory>
#include <mutex>

#include "entry/placement.h"
#include "entry/requests.h"
#include "entry/side_links.h"
#include "peridotshelf/base/budget.h"
#include "peridotshelf/base/sharded_map.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::entry {

/// Runs requests at sides and gives each exactly one final answer.
/// Thread-safe.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
 public:
  Dispatcher(io::IoThreads& threads, const FailureDomain& own_domain)
      : m_threads(threads), m_placer(own_domain) {}

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
  void OnFrame(const HostId& host, const wire::Frame& frame);
  /// The connection to a host's side was lost.
  void OnLost(const HostId& host);
  /// Requests not answered yet.
  size_t RunningCount() const { return m_open.Size(); }

 private:
  /// One request until its final answer, under its own lock.
  struct Open {
    std::mutex mutex;
    AttemptId attempt;
    Budget budget;
    HostId host;
    /// The engine asked; empty for a service call.
    EngineId engine;
    /// Given back with the request.
    TeamHoldPtr team_hold;
    CompletionRequest completion;
    AnswerCallbacks answer;
    int64_t next_offset = 0;
    bool started = false;
    bool ended = false;
    explicit Open(Budget request_budget) : budget(request_budget) {}
  };
  using OpenPtr = std::shared_ptr<Open>;

  Reachable IsReachable() const;
  OpenPtr Add(const RequestId& id, const CallerTerms& terms, const HostId& host,
              AnswerCallbacks answer);
  void OnGranted(const OpenPtr& open, const wire::Granted& granted);
  void OnChunk(const OpenPtr& open, const wire::Chunk& chunk);
  void OnFinished(const OpenPtr& open, const wire::Finished& finished);
  void Fail(const OpenPtr& open, const Error& error);
  void CancelAtSide(const OpenPtr& open, ErrorCode code);
  OpenPtr FindAttempt(const wire::Attempt& attempt);

  void NoteLoad(const wire::Frame& frame);

  io::IoThreads& m_threads;
  Placer m_placer;
  std::shared_ptr<SideLinks> m_links;
  ShardedMap<RequestId, OpenPtr> m_open;
};

}  // namespace peridotshelf::entry
