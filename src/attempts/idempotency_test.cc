#include <iostream>
#include <map>
#include <random>

#include "peridotshelf/attempts/idempotency_table.h"
#include "peridotshelf/attempts/key_owner.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::attempts {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int64_t kStartWallMs = 1'000'000'000;
const TimePoint kStart{std::chrono::hours(2)};

class OnceTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OnceTableTest);
  CPPUNIT_TEST(Claim_WhileRunning_IsKeyInUse);
  CPPUNIT_TEST(Claim_AfterFinish_RepeatsTheAnswer);
  CPPUNIT_TEST(Claim_AfterUnknown_StaysUnknown);
  CPPUNIT_TEST(Claim_AfterRelease_RunsAgain);
  CPPUNIT_TEST(Claim_OfAnotherCallWithTheKey_IsBadField);
  CPPUNIT_TEST(Claim_IssuedBeforeTheStart_IsUnknown);
  CPPUNIT_TEST(Claim_WithoutIssueTime_NeedsAnOldSide);
  CPPUNIT_TEST(Claim_BeyondTheWindow_IsExpired);
  CPPUNIT_TEST(Claim_FromTheFuture_IsBadField);
  CPPUNIT_TEST(Claim_TableFull_IsRefusedWithProof);
  CPPUNIT_TEST(Tick_ReleasedAndReclaimedKey_IsKept);
  CPPUNIT_TEST(Tick_RunningKey_IsKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Claim_WhileRunning_IsKeyInUse() {
    CPPUNIT_ASSERT(Runs(m_call));
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kKeyInUse);
  }
  void Claim_AfterFinish_RepeatsTheAnswer() {
    Runs(m_call);
    m_table.Finish("k", {Completion{1, 201, "text/plain", 0, 0}, {"done"}});
    const ClaimResult verdict = m_table.Claim(m_call, kStart, m_now);
    CPPUNIT_ASSERT(verdict && *verdict);
    CPPUNIT_ASSERT((*verdict)->chunks.front() == "done");
    CPPUNIT_ASSERT((*verdict)->completion.http_status == 201);
  }
  void Claim_AfterUnknown_StaysUnknown() {
    Runs(m_call);
    m_table.MarkUnknown("k");
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kOutcomeUnknown);
  }
  void Claim_AfterRelease_RunsAgain() {
    Runs(m_call);
    m_table.Release("k", AttemptId{RequestId("other"), 0});
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kKeyInUse);
    m_table.Release("k", m_call.attempt);
    CPPUNIT_ASSERT(Runs(m_call));
  }
  void Claim_OfAnotherCallWithTheKey_IsBadField() {
    Runs(m_call);
    m_call.fingerprint = 8;
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kInvalidField);
  }
  void Claim_IssuedBeforeTheStart_IsUnknown() {
    // Up to the allowed skew the caller's clock may be ahead of ours.
    m_call.issued_at_ms = kStartWallMs + 2000;
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kOutcomeUnknown);
    m_call.issued_at_ms = kStartWallMs + 2001;
    CPPUNIT_ASSERT(Runs(m_call));
  }
  void Claim_WithoutIssueTime_NeedsAnOldSide() {
    m_call.issued_at_ms.reset();
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kOutcomeUnknown);
    m_now = kStart + minutes(10);
    CPPUNIT_ASSERT(Runs(m_call));
  }
  void Claim_BeyondTheWindow_IsExpired() {
    m_now = kStart + minutes(20);
    m_call.issued_at_ms = kStartWallMs + 10 * 60'000 - 2000;
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kKeyExpired);
    m_call.issued_at_ms = *m_call.issued_at_ms + 1;
    CPPUNIT_ASSERT(Runs(m_call));
  }
  void Claim_FromTheFuture_IsBadField() {
    m_call.issued_at_ms = kStartWallMs + 60'000 + 2001;
    CPPUNIT_ASSERT(CodeOf(m_call) == ErrorCode::kInvalidField);
  }
  void Claim_TableFull_IsRefusedWithProof() {
    IdempotencyOptions options;
    options.max_keys = 1;
    IdempotencyTable table(options, kStart, kStartWallMs);
    CPPUNIT_ASSERT(table.Claim(m_call, kStart, m_now).has_value());
    m_call.key = "second";
    const ClaimResult verdict = table.Claim(m_call, kStart, m_now);
    CPPUNIT_ASSERT(verdict.error().code == ErrorCode::kOverloaded);
    CPPUNIT_ASSERT(verdict.error().not_run);
  }
  void Tick_ReleasedAndReclaimedKey_IsKept() {
    Runs(m_call);
    m_table.Release("k", m_call.attempt);
    m_now += minutes(5);
    Runs(m_call);
    m_table.MarkUnknown("k");
    m_table.Tick(m_now + minutes(6));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_table.size());
    m_table.Tick(m_now + minutes(11));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_table.size());
  }
  void Tick_RunningKey_IsKept() {
    Runs(m_call);
    m_table.Tick(m_now + minutes(30));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_table.size());
  }

 private:
  bool Runs(const IdempotentCall& call) {
    const ClaimResult verdict = m_table.Claim(call, kStart, m_now);
    return verdict && *verdict == nullptr;
  }
  ErrorCode CodeOf(const IdempotentCall& call) {
    const ClaimResult verdict = m_table.Claim(call, kStart, m_now);
    CPPUNIT_ASSERT(!verdict);
    return verdict.error().code;
  }

  TimePoint m_now = kStart + minutes(1);
  IdempotencyTable m_table{IdempotencyOptions{}, kStart, kStartWallMs};
  IdempotentCall m_call{"k", 7, kStartWallMs + 30'000, {RequestId("r"), 0}};
};
CPPUNIT_TEST_SUITE_REGISTRATION(OnceTableTest);

std::vector<HostId> Hosts(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) hosts.emplace_back("h" + std::to_string(i));
  return hosts;
}

class HomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HomeTest);
  CPPUNIT_TEST(Home_AfterOneHostLeft_MovesOnlyItsKeys);
  CPPUNIT_TEST(Duty_OfMovedKey_AwaitsTheRelease);
  CPPUNIT_TEST(Keys_UnderAnySchedule_RunAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Home_AfterOneHostLeft_MovesOnlyItsKeys() {
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
      const std::string key = "key" + std::to_string(i);
      const HostId before = FindKeyOwner(key, Hosts(4));
      const HostId after = FindKeyOwner(key, Hosts(3));
      if (before != after) {
        CPPUNIT_ASSERT(before == HostId("h3"));
        ++moved;
      }
    }
    CPPUNIT_ASSERT(moved > 200 && moved < 300);
  }
  void Duty_OfMovedKey_AwaitsTheRelease() {
    std::string key = "a";
    while (FindKeyOwner(key, Hosts(2)) != HostId("h1")) key += "a";
    KeyOwnerHistory history(HostId("h1"), kStart);
    history.Accept(1, Hosts(1));
    CPPUNIT_ASSERT(!history.OwnershipOf(key).is_owner);
    history.Accept(2, Hosts(2));
    CPPUNIT_ASSERT(history.OwnershipOf(key).awaiting_release);
    history.NoteReportedVersions({1, 2}, kStart + seconds(1));
    CPPUNIT_ASSERT(!history.OwnershipOf(key).is_owner);
    history.NoteReportedVersions({2, 3}, kStart + seconds(1));
    CPPUNIT_ASSERT(!history.OwnershipOf(key).is_owner);
    history.NoteReportedVersions({2, 2}, kStart + seconds(2));
    CPPUNIT_ASSERT(history.OwnershipOf(key).is_owner);
    CPPUNIT_ASSERT(history.OwnershipOf(key).since == kStart + seconds(2));
  }
  void Keys_UnderAnySchedule_RunAtMostOnce();
};
CPPUNIT_TEST_SUITE_REGISTRATION(HomeTest);

/// Sides that restart and learn of lists at different times, entries with old
/// lists, and callers that repeat their keys through any of them.
class OnceWorld {
 public:
  static constexpr int kHosts = 4;
  static constexpr int kKeys = 5;

  explicit OnceWorld(uint32_t seed) : m_random(seed) {
    for (int i = 0; i < kHosts; ++i) Restart(i);
  }
  void Step() {
    m_now += milliseconds(Draw(1, 1500));
    switch (Draw(0, 19)) {
      case 0:
        return Restart(Draw(0, kHosts - 1));
      case 1:
        m_first_key += kKeys;
        return;
      case 2:
        m_lists[++m_newest] = Hosts(Draw(1, kHosts));
        return;
      case 3:
      case 4:
      case 5:
        return Learn(Draw(0, kHosts - 1));
      case 6:
      case 7:
        return EndOneCall();
      default:
        return Call(m_first_key + Draw(0, kKeys - 1));
    }
  }
  /// Executions of the key that was run most often, and of all keys.
  int MostRuns() const {
    int most = 0;
    for (const auto& [key, runs] : m_runs) most = std::max(most, runs);
    return most;
  }
  size_t RunKeys() const { return m_runs.size(); }

 private:
  struct Side {
    std::unique_ptr<IdempotencyTable> table;
    std::unique_ptr<KeyOwnerHistory> history;
    ControlVersion version = 0;
  };
  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }
  int64_t WallMs() const {
    return kStartWallMs + ToMilliseconds(m_now - kStart);
  }
  void Restart(int i) {
    Side& side = m_sides[i];
    // The wall clock it finds is off by up to half the allowance.
    const int64_t wall = WallMs() + Draw(-1000, 1000);
    side.table =
        std::make_unique<IdempotencyTable>(IdempotencyOptions{}, m_now, wall);
    side.history = std::make_unique<KeyOwnerHistory>(
        HostId("h" + std::to_string(i)), m_now);
    // It may find an older state than it had before.
    side.version = Draw(OldestUsed(), static_cast<int>(m_newest));
    side.history->Accept(side.version, m_lists[side.version]);
  }
  int OldestUsed() const { return std::max(1, static_cast<int>(m_newest) - 2); }
  ReportedVersions Heard() {
    ReportedVersions heard{m_newest, 0};
    for (const auto& [i, side] : m_sides) {
      const ControlVersion version = Draw(0, 19) == 0 ? 0 : side.version;
      heard.oldest = std::min(heard.oldest, version);
      heard.newest = std::max(heard.newest, version);
    }
    return heard;
  }
  void Learn(int i) {
    Side& side = m_sides[i];
    if (side.version == m_newest) return;
    side.version =
        Draw(static_cast<int>(side.version) + 1, static_cast<int>(m_newest));
    side.history->Accept(side.version, m_lists[side.version]);
  }
  /// A call through an entry that has any of the versions.
  void Call(int key) {
    const std::string name = "key" + std::to_string(key);
    auto issued = m_issued.try_emplace(key, WallMs() + Draw(-1000, 1000)).first;
    const ControlVersion seen = Draw(OldestUsed(), static_cast<int>(m_newest));
    const HostId key_owner = FindKeyOwner(name, m_lists[seen]);
    Side& side = m_sides[key_owner.value().back() - '0'];
    side.history->NoteReportedVersions(Heard(), m_now);
    const KeyOwnership ownership = side.history->OwnershipOf(name);
    if (!ownership.is_owner) return;
    const IdempotentCall call{
        name, 1, issued->second, {RequestId(name), ++m_calls}};
    const ClaimResult verdict = side.table->Claim(call, ownership.since, m_now);
    if (!verdict || *verdict) return;
    ++m_runs[key];
    m_running.emplace_back(side.table.get(), call);
  }
  /// Ends a running call; at a side that has restarted since, it is lost.
  void EndOneCall() {
    if (m_running.empty()) return;
    const auto [table, call] = m_running.back();
    m_running.pop_back();
    for (const auto& [i, side] : m_sides) {
      if (side.table.get() != table) continue;
      if (Draw(0, 1) == 0) {
        side.table->MarkUnknown(call.key);
      } else {
        side.table->Finish(call.key, StoredAnswer{});
      }
    }
  }

  std::mt19937 m_random;
  TimePoint m_now = kStart;
  ControlVersion m_newest = 1;
  std::map<ControlVersion, std::vector<HostId>> m_lists{{1, Hosts(kHosts)}};
  std::map<int, Side> m_sides;
  std::map<int, int64_t> m_issued;
  std::map<int, int> m_runs;
  std::vector<std::pair<IdempotencyTable*, IdempotentCall>> m_running;
  int32_t m_calls = 0;
  /// Callers go on to new keys now and then.
  int m_first_key = 0;
};

void HomeTest::Keys_UnderAnySchedule_RunAtMostOnce() {
  size_t run_keys = 0;
  int schedules = 0;
  testing::CheckProperty("once", [&](uint32_t seed) {
    for (uint32_t i = 0; i < 20; ++i) {
      OnceWorld world(seed * 20 + i);
      for (int step = 0; step < 200; ++step) world.Step();
      RC_ASSERT(world.MostRuns() <= 1);
      run_keys += world.RunKeys();
      ++schedules;
    }
  });
  CPPUNIT_ASSERT(run_keys > 0);
  std::cout << schedules << " schedules, keys run " << run_keys << "\n";
}

}  // namespace
}  // namespace peridotshelf::attempts
