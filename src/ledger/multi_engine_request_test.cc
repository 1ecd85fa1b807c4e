#include "peridotshelf/policy/multi_engine_request.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peridotshelf/ledger/admission.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::ledger {
namespace {

using policy::EngineShard;
using policy::MultiEngineRequest;
using policy::ShardAction;
using policy::ShardStep;
using std::chrono::seconds;

constexpr int64_t kMemory = 400'000;
constexpr int64_t kShardTokens = 300'000;

EngineId MakeEngineId(int number) {
  return EngineId("e" + std::to_string(number));
}

/// Engines with an Admission each, and the multi-engine requests that use them.
class Engines {
 public:
  explicit Engines(int count) {
    AdmissionOptions options;
    options.capacity = {kMemory, 8};
    for (int i = 0; i < count; ++i) {
      m_admissions[MakeEngineId(i)] =
          std::make_unique<Admission>(options, false);
    }
  }
  ManualClock clock;

  Admission& At(const EngineId& engine) { return *m_admissions.at(engine); }
  void SetDead(const EngineId& engine) { m_dead_engine = engine; }
  void Add(const std::string& id, std::vector<EngineShard> shards) {
    TrackedRequest tracked{
        MultiEngineRequest(std::move(shards), clock.Now() + seconds(300)),
        clock.Now()};
    auto [it, added] = m_multi_engine_requests.emplace(id, std::move(tracked));
    Execute(id, it->second.multi_engine_request.Begin());
  }
  MultiEngineRequest::State StateOf(const std::string& id) {
    return m_multi_engine_requests.at(id).multi_engine_request.state();
  }
  /// Advances the clock by one interval, renews the entry's leases and ticks
  /// the admissions of all live engines.
  void Tick() {
    clock.Advance(Admission::kTickInterval);
    for (auto& [engine, admission] : m_admissions) {
      if (engine == m_dead_engine) continue;
      admission->Extend(ProcessId("entry"), clock.Now());
      for (const Outcome& outcome : admission->Tick(clock.Now())) {
        OnOutcome(engine, outcome);
      }
    }
  }
  void OnOutcome(const EngineId& engine, const Outcome& outcome) {
    if (const auto* granted = std::get_if<Granted>(&outcome)) {
      OnDecision(engine, granted->attempt, *granted);
    } else if (const auto* refused = std::get_if<Refused>(&outcome)) {
      OnDecision(engine, refused->attempt, *refused);
    }
  }
  void FailShard(const std::string& id, const EngineId& engine) {
    Execute(id,
            m_multi_engine_requests.at(id).multi_engine_request.OnLost(engine));
  }
  /// Ends all shards of a running multi-engine request.
  void Finish(const std::string& id) {
    for (const auto& [engine, admission] : m_admissions) {
      const AttemptId attempt{RequestId(id), 1};
      admission->Release(attempt, clock.Now());
      m_multi_engine_requests.at(id).multi_engine_request.OnFinished(engine);
    }
  }
  int64_t AllocatedTokens() const {
    int64_t allocated = 0;
    for (const auto& [engine, admission] : m_admissions) {
      if (engine != m_dead_engine) allocated += admission->Allocated().tokens;
    }
    return allocated;
  }
  bool should_ignore_grants = false;
  /// Called when a queued single-engine request is granted.
  std::function<void(const EngineId&, const AttemptId&)> on_single_engine_grant;

 private:
  struct TrackedRequest {
    MultiEngineRequest multi_engine_request;
    TimePoint admitted_at;
  };
  void Execute(const std::string& id, const std::vector<ShardAction>& actions) {
    for (const ShardAction& action : actions) {
      if (action.shard.engine == m_dead_engine) continue;
      Admission& admission = At(action.shard.engine);
      const AttemptId attempt{RequestId(id), 1};
      if (action.step == ShardStep::kReserve) {
        Reserve(id, action.shard);
      } else if (action.step == ShardStep::kStart) {
        CPPUNIT_ASSERT(admission.Commit(attempt, 0, clock.Now()));
      } else if (admission.Cancel(attempt, clock.Now()) ==
                 CancelResult::kRunning) {
        admission.Release(attempt, clock.Now());
      }
    }
  }
  void Reserve(const std::string& id, const EngineShard& shard) {
    ReserveRequest request;
    request.attempt = {RequestId(id), 1};
    request.owner = ProcessId("entry");
    request.prompt_tokens = shard.tokens;
    request.size_class = policy::SizeClass::kGiant;
    request.multi_engine_since = m_multi_engine_requests.at(id).admitted_at;
    request.deadline =
        RequestDeadline::FromRemaining(clock.Now(), seconds(300));
    const Decision decision = At(shard.engine).Reserve(request, clock.Now());
    if (!std::holds_alternative<Queued>(decision)) {
      if (const auto* granted = std::get_if<Granted>(&decision)) {
        OnDecision(shard.engine, granted->attempt, *granted);
      } else {
        FailShard(id, shard.engine);
      }
    }
  }
  void OnDecision(const EngineId& engine, const AttemptId& attempt,
                  const Granted&) {
    auto it = m_multi_engine_requests.find(attempt.request.value());
    if (it == m_multi_engine_requests.end() && on_single_engine_grant)
      on_single_engine_grant(engine, attempt);
    if (it == m_multi_engine_requests.end() || should_ignore_grants) return;
    Execute(it->first, it->second.multi_engine_request.OnGranted(engine));
  }
  void OnDecision(const EngineId& engine, const AttemptId& attempt,
                  const Refused&) {
    if (m_multi_engine_requests.contains(attempt.request.value())) {
      FailShard(attempt.request.value(), engine);
    }
  }

  std::map<EngineId, std::unique_ptr<Admission>> m_admissions;
  std::map<std::string, TrackedRequest> m_multi_engine_requests;
  EngineId m_dead_engine;
};

std::vector<EngineShard> MakeShards(const std::vector<int>& engines) {
  std::vector<EngineShard> shards;
  shards.reserve(engines.size());
  for (int engine : engines)
    shards.push_back({MakeEngineId(engine), kShardTokens});
  return shards;
}

class MultiEngineRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MultiEngineRequestTest);
  CPPUNIT_TEST(SplitIntoShards_PromptExceedsTwoEngines_UsesFewestEngines);
  CPPUNIT_TEST(Begin_OneEngineBusy_StartsOnceAllShardsAreReserved);
  CPPUNIT_TEST(OnLost_ThirdShardNotRequested_FreesAll);
  CPPUNIT_TEST(OnLost_ThirdShardQueued_FreesAll);
  CPPUNIT_TEST(OnLost_ThirdShardRunning_FreesAll);
  CPPUNIT_TEST(OnGranted_AfterFailure_IsReleased);
  CPPUNIT_TEST(Tick_EntryUnresponsiveWhileReserving_FreesAll);
  CPPUNIT_TEST(Reserve_OlderRequestHasReservation_RefusesYounger);
  CPPUNIT_TEST(Tick_SteadyMediumRequests_DoNotStarveMultiEngineRequest);
  CPPUNIT_TEST(Tick_RandomRequestsOnSharedEngines_AllEndAndFree);
  CPPUNIT_TEST_SUITE_END();

  Engines m_engines{4};

  /// Allocates most of an engine's memory, so that a shard must wait there.
  void Occupy(int engine) {
    ReserveRequest request;
    request.attempt = {RequestId("occupant"), 1};
    request.owner = ProcessId("entry");
    request.prompt_tokens = 350'000;
    request.size_class = policy::SizeClass::kLong;
    request.deadline =
        RequestDeadline::FromRemaining(m_engines.clock.Now(), seconds(300));
    Admission& admission = m_engines.At(MakeEngineId(engine));
    admission.Reserve(request, m_engines.clock.Now());
    admission.Commit(request.attempt, 0, m_engines.clock.Now());
  }

 public:
  void SplitIntoShards_PromptExceedsTwoEngines_UsesFewestEngines() {
    std::vector<policy::ShardCandidate> candidates;
    candidates.reserve(5);
    for (int i = 0; i < 5; ++i) {
      candidates.push_back({MakeEngineId(i), kMemory, 1000 * i});
    }
    const auto shards = policy::SplitIntoShards(1'000'000, candidates);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, shards->size());
    CPPUNIT_ASSERT(shards->front().engine == MakeEngineId(4));
    CPPUNIT_ASSERT(shards->front().tokens == 250'000);
    CPPUNIT_ASSERT(
        !policy::SplitIntoShards(5 * kMemory, candidates).has_value());
  }
  void Begin_OneEngineBusy_StartsOnceAllShardsAreReserved() {
    Occupy(2);
    m_engines.Add("g", MakeShards({2, 0, 1}));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kReservingShards);
    CPPUNIT_ASSERT(m_engines.AllocatedTokens() == 350'000 + 2 * kShardTokens);
    m_engines.At(MakeEngineId(2))
        .Release({RequestId("occupant"), 1}, m_engines.clock.Now());
    m_engines.Tick();
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kRunning);
  }
  void OnLost_ThirdShardNotRequested_FreesAll() {
    Occupy(1);
    m_engines.Add("g", MakeShards({0, 1, 2}));
    FailThirdShard();
    m_engines.At(MakeEngineId(1))
        .Release({RequestId("occupant"), 1}, m_engines.clock.Now());
    CPPUNIT_ASSERT(m_engines.AllocatedTokens() == 0);
  }
  void OnLost_ThirdShardQueued_FreesAll() {
    Occupy(2);
    m_engines.Add("g", MakeShards({0, 1, 2}));
    CPPUNIT_ASSERT(m_engines.AllocatedTokens() == 350'000 + 2 * kShardTokens);
    FailThirdShard();
    CPPUNIT_ASSERT(m_engines.AllocatedTokens() == 0);
  }
  void OnLost_ThirdShardRunning_FreesAll() {
    m_engines.Add("g", MakeShards({0, 1, 2}));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kRunning);
    FailThirdShard();
    CPPUNIT_ASSERT(m_engines.AllocatedTokens() == 0);
  }
  void FailThirdShard() {
    m_engines.SetDead(MakeEngineId(2));
    m_engines.FailShard("g", MakeEngineId(2));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kFailed);
  }
  void OnGranted_AfterFailure_IsReleased() {
    m_engines.should_ignore_grants = true;
    m_engines.Add("g", MakeShards({0, 1}));
    m_engines.FailShard("g", MakeEngineId(1));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                       MultiEngineRequest::State::kReservingShards ||
                   m_engines.AllocatedTokens() == 0);
    MultiEngineRequest multi_engine_request(MakeShards({0, 1}),
                                            TimePoint::max());
    multi_engine_request.Begin();
    multi_engine_request.OnLost(MakeEngineId(0));
    const auto actions = multi_engine_request.OnGranted(MakeEngineId(0));
    CPPUNIT_ASSERT(actions.at(0).step == ShardStep::kRelease);
  }
  void Tick_EntryUnresponsiveWhileReserving_FreesAll() {
    Occupy(2);
    m_engines.Add("g", MakeShards({0, 1, 2}));
    // The clock passes the lease end without a renewal.
    m_engines.clock.Advance(seconds(5));
    for (int i = 0; i < 2; ++i) {
      m_engines.At(MakeEngineId(i)).Tick(m_engines.clock.Now());
      CPPUNIT_ASSERT(m_engines.At(MakeEngineId(i)).Allocated() == Capacity{});
    }
  }
  void Reserve_OlderRequestHasReservation_RefusesYounger() {
    Occupy(1);
    m_engines.Add("older", MakeShards({0, 1}));
    m_engines.clock.Advance(seconds(1));
    m_engines.Add("younger", MakeShards({0, 2}));
    CPPUNIT_ASSERT(m_engines.StateOf("older") ==
                   MultiEngineRequest::State::kReservingShards);
    CPPUNIT_ASSERT(m_engines.StateOf("younger") ==
                   MultiEngineRequest::State::kFailed);
  }
  void Tick_SteadyMediumRequests_DoNotStarveMultiEngineRequest() {
    struct Running {
      EngineId engine;
      AttemptId attempt;
    };
    std::deque<Running> mediums;
    // Counted at the first shard's engine, for which the multi-engine request
    // waits from the start.
    int64_t started_tokens = 0;
    const auto start = [&](const EngineId& engine, const AttemptId& attempt) {
      CPPUNIT_ASSERT(
          m_engines.At(engine).Commit(attempt, 0, m_engines.clock.Now()));
      mediums.push_back({engine, attempt});
      if (engine == MakeEngineId(0)) started_tokens += 90'000;
    };
    m_engines.on_single_engine_grant = start;
    const auto offer = [&](int number) {
      for (int e = 0; e < 3; ++e) {
        ReserveRequest request;
        request.attempt = {RequestId("m" + std::to_string(e)), number};
        request.owner = ProcessId("entry");
        request.prompt_tokens = 90'000;
        request.size_class = policy::SizeClass::kMedium;
        request.deadline =
            RequestDeadline::FromRemaining(m_engines.clock.Now(), seconds(30));
        Admission& admission = m_engines.At(MakeEngineId(e));
        const auto decision = admission.Reserve(request, m_engines.clock.Now());
        if (!std::holds_alternative<Granted>(decision)) continue;
        start(MakeEngineId(e), request.attempt);
      }
    };
    for (int i = 0; i < 3; ++i) offer(i);
    m_engines.Add("g", MakeShards({0, 1, 2}));
    started_tokens = 0;
    for (int i = 3; i < 200; ++i) {
      if (m_engines.StateOf("g") == MultiEngineRequest::State::kRunning) break;
      offer(i);
      m_engines.Tick();
      if (mediums.empty()) continue;
      m_engines.At(mediums.front().engine)
          .Release(mediums.front().attempt, m_engines.clock.Now());
      mediums.pop_front();
    }
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kRunning);
    // The bypass limit is one engine's memory; the request that reaches it may
    // exceed it.
    CPPUNIT_ASSERT(started_tokens <= kMemory + 90'000);
  }
  void Tick_RandomRequestsOnSharedEngines_AllEndAndFree() {
    testing::CheckProperty("gangs", [] {
      Engines engines(4);
      const int count = *rc::gen::inRange(2, 8);
      for (int i = 0; i < count; ++i) {
        const auto chosen = *rc::gen::unique<std::vector<int>>(
            *rc::gen::inRange(2, 4), rc::gen::inRange(0, 4));
        engines.Add("g" + std::to_string(i), MakeShards(chosen));
        engines.clock.Advance(seconds(1));
      }
      for (int tick = 0; tick < 2 * count; ++tick) {
        engines.Tick();
        int reserving = 0;
        for (int i = 0; i < count; ++i) {
          const std::string id = "g" + std::to_string(i);
          if (engines.StateOf(id) == MultiEngineRequest::State::kRunning)
            engines.Finish(id);
          if (engines.StateOf(id) ==
              MultiEngineRequest::State::kReservingShards)
            ++reserving;
        }
        if (reserving == 0) break;
      }
      engines.Tick();
      for (int i = 0; i < count; ++i) {
        const std::string id = "g" + std::to_string(i);
        if (engines.StateOf(id) == MultiEngineRequest::State::kRunning)
          engines.Finish(id);
        RC_ASSERT(engines.StateOf(id) !=
                  MultiEngineRequest::State::kReservingShards);
      }
      RC_ASSERT(engines.AllocatedTokens() == 0);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MultiEngineRequestTest);

}  // namespace
}  // namespace peridotshelf::ledger
