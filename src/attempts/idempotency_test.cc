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

class IdempotencyTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdempotencyTableTest);
  CPPUNIT_TEST(Claim_WhileRunning_IsKeyInUse);
  CPPUNIT_TEST(Claim_AfterFinish_ReturnsStoredAnswer);
  CPPUNIT_TEST(Claim_AfterMarkUnknown_IsOutcomeUnknown);
  CPPUNIT_TEST(Claim_AfterRelease_RunsAgain);
  CPPUNIT_TEST(Claim_OfAnotherCallWithSameKey_IsInvalidField);
  CPPUNIT_TEST(Claim_IssuedBeforeTableStart_IsOutcomeUnknown);
  CPPUNIT_TEST(Claim_WithoutIssueTime_RunsAfterRetryWindow);
  CPPUNIT_TEST(Claim_AfterRetryWindow_IsKeyExpired);
  CPPUNIT_TEST(Claim_IssuedInFuture_IsInvalidField);
  CPPUNIT_TEST(Claim_TableFull_FailsAsNotRun);
  CPPUNIT_TEST(Tick_ReleasedAndReclaimedKey_IsKept);
  CPPUNIT_TEST(Tick_RunningKey_IsKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Claim_WhileRunning_IsKeyInUse() {
    CPPUNIT_ASSERT(ClaimRuns(m_call));
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kKeyInUse);
  }
  void Claim_AfterFinish_ReturnsStoredAnswer() {
    ClaimRuns(m_call);
    m_table.Finish("k", {Completion{1, 201, "text/plain", 0, 0}, {"done"}});
    const ClaimResult claim = m_table.Claim(m_call, kStart, m_now);
    CPPUNIT_ASSERT(claim && *claim);
    CPPUNIT_ASSERT((*claim)->chunks.front() == "done");
    CPPUNIT_ASSERT((*claim)->completion.http_status == 201);
  }
  void Claim_AfterMarkUnknown_IsOutcomeUnknown() {
    ClaimRuns(m_call);
    m_table.MarkUnknown("k");
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kOutcomeUnknown);
  }
  void Claim_AfterRelease_RunsAgain() {
    ClaimRuns(m_call);
    m_table.Release("k", AttemptId{RequestId("other"), 0});
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kKeyInUse);
    m_table.Release("k", m_call.attempt);
    CPPUNIT_ASSERT(ClaimRuns(m_call));
  }
  void Claim_OfAnotherCallWithSameKey_IsInvalidField() {
    ClaimRuns(m_call);
    m_call.fingerprint = 8;
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kInvalidField);
  }
  void Claim_IssuedBeforeTableStart_IsOutcomeUnknown() {
    // The caller's clock may be ahead of this host's by up to the allowed skew.
    m_call.issued_at_ms = kStartWallMs + 2000;
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kOutcomeUnknown);
    m_call.issued_at_ms = kStartWallMs + 2001;
    CPPUNIT_ASSERT(ClaimRuns(m_call));
  }
  void Claim_WithoutIssueTime_RunsAfterRetryWindow() {
    m_call.issued_at_ms.reset();
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kOutcomeUnknown);
    m_now = kStart + minutes(10);
    CPPUNIT_ASSERT(ClaimRuns(m_call));
  }
  void Claim_AfterRetryWindow_IsKeyExpired() {
    m_now = kStart + minutes(20);
    m_call.issued_at_ms = kStartWallMs + 10 * 60'000 - 2000;
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kKeyExpired);
    m_call.issued_at_ms = *m_call.issued_at_ms + 1;
    CPPUNIT_ASSERT(ClaimRuns(m_call));
  }
  void Claim_IssuedInFuture_IsInvalidField() {
    m_call.issued_at_ms = kStartWallMs + 60'000 + 2001;
    CPPUNIT_ASSERT(ClaimErrorCode(m_call) == ErrorCode::kInvalidField);
  }
  void Claim_TableFull_FailsAsNotRun() {
    IdempotencyOptions options;
    options.max_keys = 1;
    IdempotencyTable table(options, kStart, kStartWallMs);
    CPPUNIT_ASSERT(table.Claim(m_call, kStart, m_now).has_value());
    m_call.key = "second";
    const ClaimResult claim = table.Claim(m_call, kStart, m_now);
    CPPUNIT_ASSERT(claim.error().code == ErrorCode::kOverloaded);
    CPPUNIT_ASSERT(claim.error().not_run);
  }
  void Tick_ReleasedAndReclaimedKey_IsKept() {
    ClaimRuns(m_call);
    m_table.Release("k", m_call.attempt);
    m_now += minutes(5);
    ClaimRuns(m_call);
    m_table.MarkUnknown("k");
    m_table.Tick(m_now + minutes(6));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_table.size());
    m_table.Tick(m_now + minutes(11));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_table.size());
  }
  void Tick_RunningKey_IsKept() {
    ClaimRuns(m_call);
    m_table.Tick(m_now + minutes(30));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_table.size());
  }

 private:
  bool ClaimRuns(const IdempotentCall& call) {
    const ClaimResult claim = m_table.Claim(call, kStart, m_now);
    return claim && *claim == nullptr;
  }
  ErrorCode ClaimErrorCode(const IdempotentCall& call) {
    const ClaimResult claim = m_table.Claim(call, kStart, m_now);
    CPPUNIT_ASSERT(!claim);
    return claim.error().code;
  }

  TimePoint m_now = kStart + minutes(1);
  IdempotencyTable m_table{IdempotencyOptions{}, kStart, kStartWallMs};
  IdempotentCall m_call{"k", 7, kStartWallMs + 30'000, {RequestId("r"), 0}};
};
CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyTableTest);

std::vector<HostId> MakeHosts(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) hosts.emplace_back("h" + std::to_string(i));
  return hosts;
}

class KeyOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyOwnerTest);
  CPPUNIT_TEST(KeyOwner_AfterHostRemoved_MovesOnlyItsKeys);
  CPPUNIT_TEST(Ownership_OfMovedKey_AwaitsRelease);
  CPPUNIT_TEST(Keys_UnderAnySchedule_RunAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeyOwner_AfterHostRemoved_MovesOnlyItsKeys() {
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
      const std::string key = "key" + std::to_string(i);
      const HostId before = FindKeyOwner(key, MakeHosts(4));
      const HostId after = FindKeyOwner(key, MakeHosts(3));
      if (before != after) {
        CPPUNIT_ASSERT(before == HostId("h3"));
        ++moved;
      }
    }
    CPPUNIT_ASSERT(moved > 200 && moved < 300);
  }
  void Ownership_OfMovedKey_AwaitsRelease() {
    std::string key = "a";
    while (FindKeyOwner(key, MakeHosts(2)) != HostId("h1")) key += "a";
    KeyOwnerHistory history(HostId("h1"), kStart);
    history.Accept(1, MakeHosts(1));
    CPPUNIT_ASSERT(!history.OwnershipOf(key).is_owner);
    history.Accept(2, MakeHosts(2));
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
CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnerTest);

/// Simulates sides that restart and receive host lists at different times,
/// entries with outdated lists, and callers that retry their keys through any
/// entry.
class KeyOwnerSimulation {
 public:
  static constexpr int kHosts = 4;
  static constexpr int kKeys = 5;

  explicit KeyOwnerSimulation(uint32_t seed) : m_random(seed) {
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
        m_lists[++m_newest_version] = MakeHosts(Draw(1, kHosts));
        return;
      case 3:
      case 4:
      case 5:
        return UpdateHostList(Draw(0, kHosts - 1));
      case 6:
      case 7:
        return EndLastCall();
      default:
        return Call(m_first_key + Draw(0, kKeys - 1));
    }
  }
  /// Returns the largest number of executions of any key.
  int MaxRunsPerKey() const {
    int max_runs = 0;
    for (const auto& [key, runs] : m_runs) max_runs = std::max(max_runs, runs);
    return max_runs;
  }
  size_t CountRunKeys() const { return m_runs.size(); }

 private:
  struct Side {
    std::unique_ptr<IdempotencyTable> table;
    std::unique_ptr<KeyOwnerHistory> history;
    ControlVersion version = 0;
  };
  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }
  int64_t CurrentWallMs() const {
    return kStartWallMs + ToMilliseconds(m_now - kStart);
  }
  void Restart(int i) {
    Side& side = m_sides[i];
    // The wall clock is off by up to half the allowed skew.
    const int64_t wall = CurrentWallMs() + Draw(-1000, 1000);
    side.table =
        std::make_unique<IdempotencyTable>(IdempotencyOptions{}, m_now, wall);
    side.history = std::make_unique<KeyOwnerHistory>(
        HostId("h" + std::to_string(i)), m_now);
    // The state after the restart may be older than before.
    side.version =
        Draw(OldestUsedVersion(), static_cast<int>(m_newest_version));
    side.history->Accept(side.version, m_lists[side.version]);
  }
  int OldestUsedVersion() const {
    return std::max(1, static_cast<int>(m_newest_version) - 2);
  }
  ReportedVersions DrawReportedVersions() {
    ReportedVersions reported{m_newest_version, 0};
    for (const auto& [i, side] : m_sides) {
      const ControlVersion version = Draw(0, 19) == 0 ? 0 : side.version;
      reported.oldest = std::min(reported.oldest, version);
      reported.newest = std::max(reported.newest, version);
    }
    return reported;
  }
  void UpdateHostList(int i) {
    Side& side = m_sides[i];
    if (side.version == m_newest_version) return;
    side.version = Draw(static_cast<int>(side.version) + 1,
                        static_cast<int>(m_newest_version));
    side.history->Accept(side.version, m_lists[side.version]);
  }
  /// Makes a call through an entry with any of the versions in use.
  void Call(int key) {
    const std::string name = "key" + std::to_string(key);
    auto issued =
        m_issued.try_emplace(key, CurrentWallMs() + Draw(-1000, 1000)).first;
    const ControlVersion entry_version =
        Draw(OldestUsedVersion(), static_cast<int>(m_newest_version));
    const HostId key_owner = FindKeyOwner(name, m_lists[entry_version]);
    Side& side = m_sides[key_owner.value().back() - '0'];
    side.history->NoteReportedVersions(DrawReportedVersions(), m_now);
    const KeyOwnership ownership = side.history->OwnershipOf(name);
    if (!ownership.is_owner) return;
    const IdempotentCall call{
        name, 1, issued->second, {RequestId(name), ++m_calls}};
    const ClaimResult claim = side.table->Claim(call, ownership.since, m_now);
    if (!claim || *claim) return;
    ++m_runs[key];
    m_running.emplace_back(side.table.get(), call);
  }
  /// Ends the call started last. The call is lost if its side has restarted.
  void EndLastCall() {
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
  ControlVersion m_newest_version = 1;
  std::map<ControlVersion, std::vector<HostId>> m_lists{{1, MakeHosts(kHosts)}};
  std::map<int, Side> m_sides;
  std::map<int, int64_t> m_issued;
  std::map<int, int> m_runs;
  std::vector<std::pair<IdempotencyTable*, IdempotentCall>> m_running;
  int32_t m_calls = 0;
  /// Increases during the run, so that callers use new keys.
  int m_first_key = 0;
};

void KeyOwnerTest::Keys_UnderAnySchedule_RunAtMostOnce() {
  size_t run_keys = 0;
  int schedules = 0;
  testing::CheckProperty("once", [&](uint32_t seed) {
    for (uint32_t i = 0; i < 20; ++i) {
      KeyOwnerSimulation simulation(seed * 20 + i);
      for (int step = 0; step < 200; ++step) simulation.Step();
      RC_ASSERT(simulation.MaxRunsPerKey() <= 1);
      run_keys += simulation.CountRunKeys();
      ++schedules;
    }
  });
  CPPUNIT_ASSERT(run_keys > 0);
  std::cout << schedules << " schedules, keys run " << run_keys << "\n";
}

}  // namespace
}  // namespace peridotshelf::attempts
