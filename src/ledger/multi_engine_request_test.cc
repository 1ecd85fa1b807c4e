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
constexpr int64_t kPart = 300'000;

EngineId EngineOf(int number) { return EngineId("e" + std::to_string(number)); }

/// Engines with real admissions, and the gangs that use them.
class Engines {
 public:
  explicit Engines(int count) {
    AdmissionOptions options;
    options.capacity = {kMemory, 8};
    for (int i = 0; i < count; ++i) {
      m_admissions[EngineOf(i)] = std::make_unique<Admission>(options, false);
    }
  }
  ManualClock clock;

  Admission& At(const EngineId& engine) { return *m_admissions.at(engine); }
  void Kill(const EngineId& engine) { m_dead = engine; }
  void Add(const std::string& id, std::vector<EngineShard> members) {
    Entry entry{
        MultiEngineRequest(std::move(members), clock.Now() + seconds(300)),
        clock.Now()};
    auto [it, added] = m_multi_engine_requests.emplace(id, std::move(entry));
    Do(id, it->second.multi_engine_request.Begin());
  }
  MultiEngineRequest::State StateOf(const std::string& id) {
    return m_multi_engine_requests.at(id).multi_engine_request.state();
  }
  /// All entries live; sides tick; running parts end `m_end_parts` ticks on.
  void Tick() {
    clock.Advance(Admission::kTickInterval);
    for (auto& [engine, admission] : m_admissions) {
      if (engine == m_dead) continue;
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
  void Lose(const std::string& id, const EngineId& engine) {
    Do(id, m_multi_engine_requests.at(id).multi_engine_request.OnLost(engine));
  }
  /// Ends all parts of a running gang.
  void Finish(const std::string& id) {
    for (const auto& [engine, admission] : m_admissions) {
      const AttemptId attempt{RequestId(id), 1};
      admission->Release(attempt, clock.Now());
      m_multi_engine_requests.at(id).multi_engine_request.OnFinished(engine);
    }
  }
  int64_t HeldTokens() const {
    int64_t held = 0;
    for (const auto& [engine, admission] : m_admissions) {
      if (engine != m_dead) held += admission->Held().tokens;
    }
    return held;
  }
  bool grants_withheld = false;
  /// Told of grants, after a wait, to what is no gang.
  std::function<void(const EngineId&, const AttemptId&)> on_other_grant;

 private:
  struct Entry {
    MultiEngineRequest multi_engine_request;
    TimePoint since;
  };
  void Do(const std::string& id, const std::vector<ShardAction>& actions) {
    for (const ShardAction& action : actions) {
      if (action.member.engine == m_dead) continue;
      Admission& admission = At(action.member.engine);
      const AttemptId attempt{RequestId(id), 1};
      if (action.step == ShardStep::kReserve) {
        Reserve(id, action.member);
      } else if (action.step == ShardStep::kStart) {
        CPPUNIT_ASSERT(admission.Commit(attempt, 0, clock.Now()));
      } else if (admission.Cancel(attempt, clock.Now()) ==
                 CancelResult::kRunning) {
        admission.Release(attempt, clock.Now());
      }
    }
  }
  void Reserve(const std::string& id, const EngineShard& member) {
    ReserveRequest request;
    request.attempt = {RequestId(id), 1};
    request.owner = ProcessId("entry");
    request.prompt_tokens = member.tokens;
    request.size_class = policy::SizeClass::kGiant;
    request.multi_engine_since = m_multi_engine_requests.at(id).since;
    request.budget = RequestDeadline::FromRemaining(clock.Now(), seconds(300));
    const Decision decision = At(member.engine).Reserve(request, clock.Now());
    if (!std::holds_alternative<Queued>(decision)) {
      if (const auto* granted = std::get_if<Granted>(&decision)) {
        OnDecision(member.engine, granted->attempt, *granted);
      } else {
        Lose(id, member.engine);
      }
    }
  }
  void OnDecision(const EngineId& engine, const AttemptId& attempt,
                  const Granted&) {
    auto it = m_multi_engine_requests.find(attempt.request.value());
    if (it == m_multi_engine_requests.end() && on_other_grant)
      on_other_grant(engine, attempt);
    if (it == m_multi_engine_requests.end() || grants_withheld) return;
    Do(it->first, it->second.multi_engine_request.OnGranted(engine));
  }
  void OnDecision(const EngineId& engine, const AttemptId& attempt,
                  const Refused&) {
    if (m_multi_engine_requests.contains(attempt.request.value())) {
      Lose(attempt.request.value(), engine);
    }
  }

  std::map<EngineId, std::unique_ptr<Admission>> m_admissions;
  std::map<std::string, Entry> m_multi_engine_requests;
  EngineId m_dead;
};

std::vector<EngineShard> Members(const std::vector<int>& engines) {
  std::vector<EngineShard> members;
  members.reserve(engines.size());
  for (int engine : engines) members.push_back({EngineOf(engine), kPart});
  return members;
}

class GangTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangTest);
  CPPUNIT_TEST(Divide_MoreThanTwoMemories_TakesFewestEngines);
  CPPUNIT_TEST(Begin_EnginesFree_StartsOnlyWithAllHeld);
  CPPUNIT_TEST(ThirdMember_DiesBeforeAsked_FreesAll);
  CPPUNIT_TEST(ThirdMember_DiesWhileAsked_FreesAll);
  CPPUNIT_TEST(ThirdMember_DiesWhileRunning_FreesAll);
  CPPUNIT_TEST(OnGranted_AfterFailure_IsReleased);
  CPPUNIT_TEST(Entry_FallsSilentWhileGathering_FreesAll);
  CPPUNIT_TEST(YoungerGang_MeetsOlderHold_IsRefused);
  CPPUNIT_TEST(StreamOfMediums_CannotStarveAGang);
  CPPUNIT_TEST(AnyGangs_OverSharedEngines_AllEndAndFree);
  CPPUNIT_TEST_SUITE_END();

  Engines m_engines{4};

  /// Occupies an engine so that a gang's part must wait.
  void Occupy(int engine) {
    ReserveRequest request;
    request.attempt = {RequestId("occupant"), 1};
    request.owner = ProcessId("entry");
    request.prompt_tokens = 350'000;
    request.size_class = policy::SizeClass::kLong;
    request.budget =
        RequestDeadline::FromRemaining(m_engines.clock.Now(), seconds(300));
    Admission& admission = m_engines.At(EngineOf(engine));
    admission.Reserve(request, m_engines.clock.Now());
    admission.Commit(request.attempt, 0, m_engines.clock.Now());
  }

 public:
  void Divide_MoreThanTwoMemories_TakesFewestEngines() {
    std::vector<policy::ShardCandidate> candidates;
    candidates.reserve(5);
    for (int i = 0; i < 5; ++i) {
      candidates.push_back({EngineOf(i), kMemory, 1000 * i});
    }
    const auto members = policy::SplitIntoShards(1'000'000, candidates);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, members->size());
    CPPUNIT_ASSERT(members->front().engine == EngineOf(4));
    CPPUNIT_ASSERT(members->front().tokens == 250'000);
    CPPUNIT_ASSERT(
        !policy::SplitIntoShards(5 * kMemory, candidates).has_value());
  }
  void Begin_EnginesFree_StartsOnlyWithAllHeld() {
    Occupy(2);
    m_engines.Add("g", Members({2, 0, 1}));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kReservingShards);
    CPPUNIT_ASSERT(m_engines.HeldTokens() == 350'000 + 2 * kPart);
    m_engines.At(EngineOf(2))
        .Release({RequestId("occupant"), 1}, m_engines.clock.Now());
    m_engines.Tick();
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kRunning);
  }
  void ThirdMember_DiesBeforeAsked_FreesAll() {
    Occupy(1);
    m_engines.Add("g", Members({0, 1, 2}));
    Die();
    m_engines.At(EngineOf(1))
        .Release({RequestId("occupant"), 1}, m_engines.clock.Now());
    CPPUNIT_ASSERT(m_engines.HeldTokens() == 0);
  }
  void ThirdMember_DiesWhileAsked_FreesAll() {
    Occupy(2);
    m_engines.Add("g", Members({0, 1, 2}));
    CPPUNIT_ASSERT(m_engines.HeldTokens() == 350'000 + 2 * kPart);
    Die();
    CPPUNIT_ASSERT(m_engines.HeldTokens() == 0);
  }
  void ThirdMember_DiesWhileRunning_FreesAll() {
    m_engines.Add("g", Members({0, 1, 2}));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kRunning);
    Die();
    CPPUNIT_ASSERT(m_engines.HeldTokens() == 0);
  }
  void Die() {
    m_engines.Kill(EngineOf(2));
    m_engines.Lose("g", EngineOf(2));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                   MultiEngineRequest::State::kFailed);
  }
  void OnGranted_AfterFailure_IsReleased() {
    m_engines.grants_withheld = true;
    m_engines.Add("g", Members({0, 1}));
    m_engines.Lose("g", EngineOf(1));
    CPPUNIT_ASSERT(m_engines.StateOf("g") ==
                       MultiEngineRequest::State::kReservingShards ||
                   m_engines.HeldTokens() == 0);
    MultiEngineRequest multi_engine_request(Members({0, 1}), TimePoint::max());
    multi_engine_request.Begin();
    multi_engine_request.OnLost(EngineOf(0));
    const auto actions = multi_engine_request.OnGranted(EngineOf(0));
    CPPUNIT_ASSERT(actions.at(0).step == ShardStep::kRelease);
  }
  void Entry_FallsSilentWhileGathering_FreesAll() {
    Occupy(2);
    m_engines.Add("g", Members({0, 1, 2}));
    // Nothing renews the leases any more.
    m_engines.clock.Advance(seconds(5));
    for (int i = 0; i < 2; ++i) {
      m_engines.At(EngineOf(i)).Tick(m_engines.clock.Now());
      CPPUNIT_ASSERT(m_engines.At(EngineOf(i)).Held() == Capacity{});
    }
  }
  void YoungerGang_MeetsOlderHold_IsRefused() {
    Occupy(1);
    m_engines.Add("older", Members({0, 1}));
    m_engines.clock.Advance(seconds(1));
    m_engines.Add("younger", Members({0, 2}));
    CPPUNIT_ASSERT(m_engines.StateOf("older") ==
                   MultiEngineRequest::State::kReservingShards);
    CPPUNIT_ASSERT(m_engines.StateOf("younger") ==
                   MultiEngineRequest::State::kFailed);
  }
  void StreamOfMediums_CannotStarveAGang() {
    struct Running {
      EngineId engine;
      AttemptId attempt;
    };
    std::deque<Running> mediums;
    // At the first member's engine, which the gang waits for from the start.
    int64_t started_tokens = 0;
    const auto start = [&](const EngineId& engine, const AttemptId& attempt) {
      CPPUNIT_ASSERT(
          m_engines.At(engine).Commit(attempt, 0, m_engines.clock.Now()));
      mediums.push_back({engine, attempt});
      if (engine == EngineOf(0)) started_tokens += 90'000;
    };
    m_engines.on_other_grant = start;
    const auto offer = [&](int number) {
      for (int e = 0; e < 3; ++e) {
        ReserveRequest request;
        request.attempt = {RequestId("m" + std::to_string(e)), number};
        request.owner = ProcessId("entry");
        request.prompt_tokens = 90'000;
        request.size_class = policy::SizeClass::kMedium;
        request.budget =
            RequestDeadline::FromRemaining(m_engines.clock.Now(), seconds(30));
        Admission& admission = m_engines.At(EngineOf(e));
        const auto decision = admission.Reserve(request, m_engines.clock.Now());
        if (!std::holds_alternative<Granted>(decision)) continue;
        start(EngineOf(e), request.attempt);
      }
    };
    for (int i = 0; i < 3; ++i) offer(i);
    m_engines.Add("g", Members({0, 1, 2}));
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
    // One engine memory may pass, and the request that reaches the bound.
    CPPUNIT_ASSERT(started_tokens <= kMemory + 90'000);
  }
  void AnyGangs_OverSharedEngines_AllEndAndFree() {
    testing::CheckProperty("gangs", [] {
      Engines engines(4);
      const int count = *rc::gen::inRange(2, 8);
      for (int i = 0; i < count; ++i) {
        const auto chosen = *rc::gen::unique<std::vector<int>>(
            *rc::gen::inRange(2, 4), rc::gen::inRange(0, 4));
        engines.Add("g" + std::to_string(i), Members(chosen));
        engines.clock.Advance(seconds(1));
      }
      for (int round = 0; round < 2 * count; ++round) {
        engines.Tick();
        int gathering = 0;
        for (int i = 0; i < count; ++i) {
          const std::string id = "g" + std::to_string(i);
          if (engines.StateOf(id) == MultiEngineRequest::State::kRunning)
            engines.Finish(id);
          if (engines.StateOf(id) ==
              MultiEngineRequest::State::kReservingShards)
            ++gathering;
        }
        if (gathering == 0) break;
      }
      engines.Tick();
      for (int i = 0; i < count; ++i) {
        const std::string id = "g" + std::to_string(i);
        if (engines.StateOf(id) == MultiEngineRequest::State::kRunning)
          engines.Finish(id);
        RC_ASSERT(engines.StateOf(id) !=
                  MultiEngineRequest::State::kReservingShards);
      }
      RC_ASSERT(engines.HeldTokens() == 0);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GangTest);

}  // namespace
}  // namespace peridotshelf::ledger
