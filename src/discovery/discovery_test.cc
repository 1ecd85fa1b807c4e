#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/discovery/record_follower.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

class EngineDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineDirectoryTest);
  CPPUNIT_TEST(FindReadyEngines_LeavingEngine_IsExcluded);
  CPPUNIT_TEST(Remove_RegistryAvailable_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_InReadThatEndsAnOutage_KeepsTheEngineUntilTheGraceEnds);
  CPPUNIT_TEST(Remove_InReadThatEndsAnOutage_KeepsEngineThatRegistersAgain);
  CPPUNIT_TEST(Remove_InLaterReadAfterAnOutage_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_RegistryReadByPeerMeanwhile_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_PeerReadsFirstAfterAnOutage_KeepsTheEngine);
  CPPUNIT_TEST(NotePeerReads_PeerReadDuringOwnOutage_EndsTheGrace);
  CPPUNIT_TEST(NotePeerReads_PeerHadTheSameOutage_LeavesTheGrace);
  CPPUNIT_TEST(Remove_AfterOutageWithoutLapses_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_LeavingEngineAfterOutage_RemovesItAtOnce);
  CPPUNIT_TEST(NotePeerReads_PeerHasSameEngines_LowersTheAge);
  CPPUNIT_TEST(NotePeerReads_PeerHasOtherEngines_LeavesTheAge);
  CPPUNIT_TEST(Update_CopyHasLeavingEngineAsReady_KeepsItLeaving);
  CPPUNIT_TEST(Update_CopyHasEngineThatLeft_WithholdsIt);
  CPPUNIT_TEST(Update_EngineThatLeftRegistersAnew_AddsIt);
  CPPUNIT_TEST(Remove_EngineMissingFromCopy_KeepsItUntilTheGraceEnds);
  CPPUNIT_TEST(AddRunning_EntryOutlastsSilenceLimit_AddsIt);
  CPPUNIT_TEST(AddRunning_EntryRemovedMeanwhile_AddsNothing);
  CPPUNIT_TEST(ComputeDigest_AfterEachChange_Differs);
  CPPUNIT_TEST(KeepOnly_SomeIds_RemovesTheOthers);
  CPPUNIT_TEST(Update_RestartWithSameId_ReplacesTheEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindReadyEngines_LeavingEngine_IsExcluded() {
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    m_directory.Update(MakeEngine("b"));
    const auto ready = m_directory.FindReadyEngines("s");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ready.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ready[0]->id);
  }
  void Remove_RegistryAvailable_RemovesTheEngineAtOnce() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    m_directory.BeginRead(kNow + seconds(1));
    const auto missing = m_directory.Remove("a", kNow + seconds(1));
    CPPUNIT_ASSERT(missing && !missing->is_kept);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_InReadThatEndsAnOutage_KeepsTheEngineUntilTheGraceEnds() {
    SimulateRegistryOutage(kOutage);
    const auto missing = m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT(missing && missing->is_kept);
    CPPUNIT_ASSERT(m_directory.Expire(kRecovered + milliseconds(1999)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
    const auto expired = m_directory.Expire(kRecovered + seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, expired.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a@0"), expired[0].engine);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_InReadThatEndsAnOutage_KeepsEngineThatRegistersAgain() {
    SimulateRegistryOutage(kOutage);
    m_directory.Remove("a", kRecovered);
    m_directory.BeginRead(kRecovered + seconds(1));
    m_directory.Update(MakeEngine("a"));
    m_directory.Expire(kRecovered + seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  // Guards against requests to engines that leave soon after an outage.
  void Remove_InLaterReadAfterAnOutage_RemovesTheEngineAtOnce() {
    SimulateRegistryOutage(kOutage);
    m_directory.BeginRead(kRecovered + milliseconds(100));
    m_directory.Remove("a", kRecovered + milliseconds(100));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  // Guards against requests to engines that left while only this entry was cut
  // off from the registry.
  void Remove_RegistryReadByPeerMeanwhile_RemovesTheEngineAtOnce() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    m_directory.NotePeerReads({kNow - seconds(9), kRecovered - seconds(1)},
                              kOtherDigest);
    m_directory.BeginRead(kRecovered);
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_PeerReadsFirstAfterAnOutage_KeepsTheEngine() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    const TimePoint peer_read_at = kRecovered - milliseconds(10);
    m_directory.NotePeerReads({peer_read_at, peer_read_at}, kOtherDigest);
    m_directory.BeginRead(kRecovered);
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  // Guards against requests to engines that left while this entry was cut off
  // from the registry and from its peers.
  void NotePeerReads_PeerReadDuringOwnOutage_EndsTheGrace() {
    SimulateRegistryOutage(kOutage);
    m_directory.Remove("a", kRecovered);
    m_directory.NotePeerReads({kNow - seconds(9), kRecovered - seconds(1)},
                              kOtherDigest);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.Expire(kRecovered).size());
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    CPPUNIT_ASSERT(m_directory.reads().available_since == kNow - seconds(9));
  }
  void NotePeerReads_PeerHadTheSameOutage_LeavesTheGrace() {
    SimulateRegistryOutage(kOutage);
    m_directory.Remove("a", kRecovered);
    // One peer has not read again yet, the other one has.
    m_directory.NotePeerReads({kNow - seconds(9), kNow}, kOtherDigest);
    m_directory.NotePeerReads({kRecovered - seconds(1), kRecovered},
                              kOtherDigest);
    CPPUNIT_ASSERT(m_directory.Expire(kRecovered + seconds(1)).empty());
  }
  void Remove_AfterOutageWithoutLapses_RemovesTheEngineAtOnce() {
    SimulateRegistryOutage(kShortestLapse - milliseconds(1));
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_LeavingEngineAfterOutage_RemovesItAtOnce() {
    SimulateRegistryOutage(kOutage);
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_directory.size());
  }
  void NotePeerReads_PeerHasSameEngines_LowersTheAge() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    CPPUNIT_ASSERT(m_directory.NotePeerReads({kNow, kNow + seconds(3)},
                                             m_directory.ComputeDigest()));
    CPPUNIT_ASSERT(m_directory.ComputeAge(kNow + seconds(4)) == seconds(1));
  }
  void NotePeerReads_PeerHasOtherEngines_LeavesTheAge() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    CPPUNIT_ASSERT(
        !m_directory.NotePeerReads({kNow, kNow + seconds(3)}, kOtherDigest));
    CPPUNIT_ASSERT(m_directory.ComputeAge(kNow + seconds(4)) == seconds(4));
  }
  // Guards against requests to engines that left, after the registry was
  // restored from an older copy.
  void Update_CopyHasLeavingEngineAsReady_KeepsItLeaving() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    BeginReadOfCopy();
    CPPUNIT_ASSERT(!m_directory.Update(MakeEngine("a")));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    m_directory.AddRunning(kRecovered + std::chrono::hours(1));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Update_CopyHasEngineThatLeft_WithholdsIt() {
    LeaveThenReadCopy();
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    CPPUNIT_ASSERT(m_directory
                       .AddRunning(kRecovered + kSilenceLimit + seconds(2) -
                                   milliseconds(1))
                       .empty());
  }
  void Update_EngineThatLeftRegistersAnew_AddsIt() {
    LeaveThenReadCopy();
    m_directory.BeginRead(kRecovered + seconds(1));
    CPPUNIT_ASSERT(m_directory.Update(MakeEngine("a")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  // Guards against refusals while engines run that the copy lacks.
  void Remove_EngineMissingFromCopy_KeepsItUntilTheGraceEnds() {
    m_directory.BeginRead(kRecovered - milliseconds(100));
    m_directory.Update(MakeEngine("a"));
    BeginReadOfCopy();
    const auto missing = m_directory.KeepOnly({}, kRecovered);
    CPPUNIT_ASSERT(missing.size() == 1 && missing[0].is_kept);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         m_directory.Expire(kRecovered + seconds(2)).size());
  }
  void AddRunning_EntryOutlastsSilenceLimit_AddsIt() {
    LeaveThenReadCopy();
    const auto added =
        m_directory.AddRunning(kRecovered + kSilenceLimit + seconds(2));
    CPPUNIT_ASSERT(added == std::vector<std::string>{"a@0"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  void AddRunning_EntryRemovedMeanwhile_AddsNothing() {
    LeaveThenReadCopy();
    m_directory.BeginRead(kRecovered + kSilenceLimit);
    m_directory.Remove("a", kRecovered + kSilenceLimit);
    CPPUNIT_ASSERT(
        m_directory.AddRunning(kRecovered + std::chrono::hours(1)).empty());
  }
  void ComputeDigest_AfterEachChange_Differs() {
    const int64_t none = m_directory.ComputeDigest();
    m_directory.Update(MakeEngine("a"));
    const int64_t ready = m_directory.ComputeDigest();
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    const int64_t leaving = m_directory.ComputeDigest();
    m_directory.Remove("a", kNow);
    CPPUNIT_ASSERT(none != ready);
    CPPUNIT_ASSERT(ready != leaving);
    CPPUNIT_ASSERT_EQUAL(none, m_directory.ComputeDigest());
  }
  void KeepOnly_SomeIds_RemovesTheOthers() {
    m_directory.Update(MakeEngine("a"));
    m_directory.Update(MakeEngine("b"));
    m_directory.KeepOnly({"b"}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.size());
  }
  void Update_RestartWithSameId_ReplacesTheEngine() {
    EngineRecord engine = MakeEngine("a");
    m_directory.Update(engine);
    engine.started_unix_ms = 5;
    m_directory.Update(engine);
    CPPUNIT_ASSERT_EQUAL(std::string("a@5"),
                         m_directory.FindReadyEngines("s")[0]->Key());
  }

 private:
  static EngineRecord MakeEngine(const std::string& id,
                                 EngineState state = EngineState::kReady) {
    EngineRecord engine;
    engine.id = id;
    engine.service = "s";
    engine.address = "127.0.0.1:1";
    engine.state = state;
    return engine;
  }
  /// Registers engine "a" and begins the read that ends an outage at
  /// kRecovered.
  void SimulateRegistryOutage(Duration outage) {
    m_directory.BeginRead(kRecovered - outage);
    m_directory.Update(MakeEngine("a"));
    m_directory.BeginRead(kRecovered);
  }

  /// Begins a read of a restored registry at kRecovered.
  void BeginReadOfCopy() {
    m_directory.NoteRestored();
    m_directory.BeginRead(kRecovered);
  }
  /// Engine "a" leaves; the copy of the registry still has it.
  void LeaveThenReadCopy() {
    m_directory.BeginRead(kRecovered - seconds(2));
    m_directory.Update(MakeEngine("a"));
    m_directory.BeginRead(kRecovered - seconds(1));
    m_directory.Remove("a", kRecovered - seconds(1));
    BeginReadOfCopy();
    CPPUNIT_ASSERT(!m_directory.Update(MakeEngine("a")));
  }

  static constexpr int64_t kOtherDigest = 1;
  static constexpr Duration kOutage = seconds(8);
  static constexpr Duration kShortestLapse = milliseconds(2400);
  static constexpr Duration kSilenceLimit = milliseconds(3600);
  static constexpr TimePoint kRecovered = kNow + kOutage;

  EngineDirectory m_directory{{kShortestLapse, seconds(2), kSilenceLimit}};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineDirectoryTest);

/// Answers each call with the next scripted page or error.
struct ScriptedTopic {
  struct Script {
    std::mutex mutex;
    std::deque<Result<RecordPage>> answers;
    std::vector<std::string> calls;
  };
  std::shared_ptr<Script> script;

  void ReadNewest(const std::function<void(Result<RecordPage>)>& on_page) {
    Answer("newest", on_page);
  }
  void ReadFrom(int64_t from, Duration wait,
                const std::function<void(Result<RecordPage>)>& on_page) {
    const bool is_waiting = wait > Duration::zero();
    Answer("from " + std::to_string(from) + (is_waiting ? " waiting" : ""),
           on_page);
  }

 private:
  void Answer(const std::string& call,
              const std::function<void(Result<RecordPage>)>& on_page) {
    Result<RecordPage> answer = Fail(ErrorCode::kPlatformUnavailable);
    {
      std::scoped_lock lock(script->mutex);
      script->calls.push_back(call);
      // Without a scripted answer the call never completes.
      if (script->answers.empty()) return;
      answer = script->answers.front();
      script->answers.pop_front();
    }
    on_page(answer);
  }
};

/// Answers reads with a delay, as over a slow link, and never answers calls
/// that wait for new records.
struct SlowTopic {
  static constexpr Duration kReadTime = milliseconds(400);
  io::IoThreads* threads;

  void ReadNewest(const std::function<void(Result<RecordPage>)>& on_page) {
    ReadFrom(0, Duration::zero(), on_page);
  }
  void ReadFrom(int64_t from, Duration wait,
                const std::function<void(Result<RecordPage>)>& on_page) {
    if (wait > Duration::zero()) return;
    threads->RunAfter(kReadTime, [from, on_page] {
      RecordPage page;
      page.next_offset = from + 1;
      on_page(page);
    });
  }
};

/// Answers each call at once with an empty page and counts the calls.
struct CountingTopic {
  using Calls = std::atomic<int>;
  std::shared_ptr<Calls> calls;

  void ReadNewest(const std::function<void(Result<RecordPage>)>& on_page) {
    ReadFrom(0, Duration::zero(), on_page);
  }
  void ReadFrom(int64_t /*from*/, Duration /*wait*/,
                const std::function<void(Result<RecordPage>)>& on_page) {
    ++*calls;
    on_page(RecordPage{});
  }
};

class RecordFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordFollowerTest);
  CPPUNIT_TEST(Follow_FirstPageThenChanges_ContinuesFromItsEnd);
  CPPUNIT_TEST(Follow_HistoryLost_ReadsTheNewestAgain);
  CPPUNIT_TEST(Follow_TopicRestored_ReadsTheNewestAgain);
  CPPUNIT_TEST(Follow_TopicRestoredAndOffsetGone_ReportsTheRestoreOnce);
  CPPUNIT_TEST(Follow_CallsFail_ReportsOnceAndPollsWithoutWaiting);
  CPPUNIT_TEST(PollNow_DuringALongRead_LetsItComplete);
  CPPUNIT_TEST(PollNow_ManyFollowersAtOnce_ContinueAtDifferentTimes);
  CPPUNIT_TEST(MaxAge_NoOtherFollowerReads_PollsBeforeThePauseEnds);
  CPPUNIT_TEST(MaxAge_OtherFollowerReads_WaitsForThePause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Follow_FirstPageThenChanges_ContinuesFromItsEnd() {
    Run({MakePage(5), MakePage(6)}, 3);
    CPPUNIT_ASSERT(Calls() ==
                   (std::vector<std::string>{"newest", "from 5 waiting",
                                             "from 6 waiting"}));
    CPPUNIT_ASSERT_EQUAL(1, m_full_reads);
    CPPUNIT_ASSERT_EQUAL(1, m_changes);
  }
  void Follow_HistoryLost_ReadsTheNewestAgain() {
    RecordPage lost;
    lost.history_lost = true;
    Run({MakePage(5), lost, MakePage(9)}, 4);
    CPPUNIT_ASSERT(Calls() ==
                   (std::vector<std::string>{"newest", "from 5 waiting",
                                             "newest", "from 9 waiting"}));
    CPPUNIT_ASSERT_EQUAL(2, m_full_reads);
  }
  // Guards against records that are written below a follower's offset after the
  // topic was restored from an older copy.
  void Follow_TopicRestored_ReadsTheNewestAgain() {
    Run({MakePage(5, 1), MakePage(6, 1), MakePage(6, 2), MakePage(4, 2),
         MakePage(5, 2)},
        6);
    CPPUNIT_ASSERT(Calls() ==
                   (std::vector<std::string>{
                       "newest", "from 5 waiting", "from 6 waiting", "newest",
                       "from 4 waiting", "from 5 waiting"}));
    CPPUNIT_ASSERT_EQUAL(2, m_full_reads);
    CPPUNIT_ASSERT_EQUAL(2, m_changes);
    CPPUNIT_ASSERT(m_restores == std::vector<int64_t>{2});
  }
  void Follow_TopicRestoredAndOffsetGone_ReportsTheRestoreOnce() {
    RecordPage lost;
    lost.history_lost = true;
    lost.epoch = 2;
    Run({MakePage(5, 1), lost, MakePage(3, 2)}, 4);
    CPPUNIT_ASSERT(Calls() ==
                   (std::vector<std::string>{"newest", "from 5 waiting",
                                             "newest", "from 3 waiting"}));
    CPPUNIT_ASSERT(m_restores == std::vector<int64_t>{2});
  }
  void Follow_CallsFail_ReportsOnceAndPollsWithoutWaiting() {
    const Result<RecordPage> failed = Fail(ErrorCode::kPlatformUnavailable);
    Run({MakePage(5), failed, failed, MakePage(5)}, 5);
    CPPUNIT_ASSERT(Calls() == (std::vector<std::string>{
                                  "newest", "from 5 waiting", "from 5",
                                  "from 5", "from 5 waiting"}));
    CPPUNIT_ASSERT_EQUAL(1, m_lost_count);
    CPPUNIT_ASSERT_EQUAL(1, m_recovered_count);
  }

  // Guards against reads that never complete: on hosts with slow links,
  // frequent notifications of new versions restarted each read of a large
  // configuration.
  void PollNow_DuringALongRead_LetsItComplete() {
    io::IoThreads threads(1);
    PollTiming timing;
    timing.wait = seconds(10);
    std::atomic<int> changes = 0;
    FollowCallbacks callbacks;
    callbacks.on_all = [](const auto&) {};
    callbacks.on_changes = [&changes](const auto&) { ++changes; };
    callbacks.on_lost = [](const Error&) {};
    callbacks.on_recovered = [] {};
    RecordFollower<SlowTopic> follower(threads, SlowTopic{&threads}, timing,
                                       callbacks);
    follower.Start();
    std::this_thread::sleep_for(2 * SlowTopic::kReadTime);
    for (int i = 0; i < 12; ++i) {
      threads.Post([&follower] { follower.PollNow(); });
      std::this_thread::sleep_for(milliseconds(100));
    }
    threads.Stop();
    CPPUNIT_ASSERT(changes >= 1);
  }

  // Guards against entries that rely on peers which cannot read the registry.
  void MaxAge_NoOtherFollowerReads_PollsBeforeThePauseEnds() {
    CPPUNIT_ASSERT(CountCallsWithLongPause(/*others_read=*/false) >= 3);
  }
  void MaxAge_OtherFollowerReads_WaitsForThePause() {
    CPPUNIT_ASSERT_EQUAL(1, CountCallsWithLongPause(/*others_read=*/true));
  }

  void PollNow_ManyFollowersAtOnce_ContinueAtDifferentTimes() {
    constexpr int kFollowers = 20;
    constexpr Duration kPause = milliseconds(500);
    io::IoThreads threads(1);
    PollTiming timing;
    timing.pause = kPause;
    FollowCallbacks callbacks;
    callbacks.on_all = [](const auto&) {};
    callbacks.on_changes = [](const auto&) {};
    std::vector<std::shared_ptr<CountingTopic::Calls>> calls;
    std::vector<std::unique_ptr<RecordFollower<CountingTopic>>> followers;
    for (int i = 0; i < kFollowers; ++i) {
      calls.push_back(std::make_shared<CountingTopic::Calls>(0));
      followers.push_back(std::make_unique<RecordFollower<CountingTopic>>(
          threads, CountingTopic{calls.back()}, timing, callbacks));
      followers.back()->Start();
    }
    std::this_thread::sleep_for(kPause * 2);
    threads.Post([&followers] {
      for (const auto& follower : followers) follower->PollNow();
    });
    const auto total = [&calls] {
      int sum = 0;
      for (const auto& counter : calls) sum += *counter;
      return sum;
    };
    std::this_thread::sleep_for(milliseconds(50));
    const int before = total();
    std::this_thread::sleep_for(kPause / 2);
    const int called = total() - before;
    threads.Stop();
    // Followers that poll in lockstep would all call, or none would.
    CPPUNIT_ASSERT(called >= 2);
    CPPUNIT_ASSERT(called <= kFollowers - 2);
  }

 private:
  /// Returns the calls within ten times the greatest age, with a pause that
  /// does not end meanwhile.
  static int CountCallsWithLongPause(bool others_read) {
    constexpr Duration kMaxAge = milliseconds(100);
    io::IoThreads threads(1);
    PollTiming timing;
    timing.pause = std::chrono::hours(10000);
    timing.max_age = kMaxAge;
    const auto calls = std::make_shared<CountingTopic::Calls>(0);
    std::unique_ptr<RecordFollower<CountingTopic>> follower;
    FollowCallbacks callbacks;
    callbacks.on_all = [&](const auto&) {
      if (others_read) {
        follower->NoteFresh(SteadyClock().Now() + std::chrono::hours(1));
      }
    };
    callbacks.on_changes = [](const auto&) {};
    follower = std::make_unique<RecordFollower<CountingTopic>>(
        threads, CountingTopic{calls}, timing, callbacks);
    follower->Start();
    std::this_thread::sleep_for(10 * kMaxAge);
    threads.Stop();
    return *calls;
  }
  static RecordPage MakePage(int64_t next_offset,
                             std::optional<int64_t> epoch = std::nullopt) {
    RecordPage page;
    page.next_offset = next_offset;
    page.epoch = epoch;
    return page;
  }
  std::vector<std::string> Calls() {
    std::scoped_lock lock(m_script->mutex);
    return m_script->calls;
  }
  /// Follows the script until it has been called `calls` times.
  void Run(std::deque<Result<RecordPage>> answers, size_t calls) {
    m_script->answers = std::move(answers);
    PollTiming timing;
    timing.wait = seconds(1);
    timing.retry_pause = milliseconds(1);
    FollowCallbacks callbacks;
    callbacks.on_all = [this](const auto&) { ++m_full_reads; };
    callbacks.on_changes = [this](const auto&) { ++m_changes; };
    callbacks.on_lost = [this](const Error&) { ++m_lost_count; };
    callbacks.on_recovered = [this] { ++m_recovered_count; };
    callbacks.on_restored = [this](int64_t epoch) {
      m_restores.push_back(epoch);
    };
    io::IoThreads threads(1);
    RecordFollower<ScriptedTopic> follower(threads, ScriptedTopic{m_script},
                                           timing, callbacks);
    follower.Start();
    while (Calls().size() < calls) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    threads.Stop();
  }

  std::shared_ptr<ScriptedTopic::Script> m_script =
      std::make_shared<ScriptedTopic::Script>();
  int m_full_reads = 0;
  int m_changes = 0;
  int m_lost_count = 0;
  int m_recovered_count = 0;
  std::vector<int64_t> m_restores;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RecordFollowerTest);

}  // namespace
}  // namespace peridotshelf::discovery
