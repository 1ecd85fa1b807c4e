#include "peridotshelf/discovery/record_follower.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <stdexcept>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
  CPPUNIT_TEST(Follow_CallbackThrows_ReadsTheNewestAgain);
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

  // Guards against a follower that stands still, or keeps half of a page, after
  // an exception.
  void Follow_CallbackThrows_ReadsTheNewestAgain() {
    io::IoThreads threads(1);
    ScriptedTopic topic{std::make_shared<ScriptedTopic::Script>()};
    topic.script->answers = {MakePage(5), MakePage(6), MakePage(7)};
    PollTiming timing;
    timing.wait = seconds(10);
    timing.max_retry_pause = milliseconds(20);
    std::promise<void> read_again;
    int full_reads = 0;
    FollowCallbacks callbacks;
    callbacks.on_all = [&](const auto&) {
      if (++full_reads == 2) read_again.set_value();
    };
    callbacks.on_changes = [](const auto&) {
      throw std::runtime_error("test");
    };
    callbacks.on_lost = [](const Error&) {};
    callbacks.on_recovered = [] {};
    RecordFollower<ScriptedTopic> follower(threads, topic, timing, callbacks);
    follower.Start();
    CPPUNIT_ASSERT(read_again.get_future().wait_for(seconds(5)) ==
                   std::future_status::ready);
    threads.Stop();
    CPPUNIT_ASSERT(topic.script->calls.at(2) == "newest");
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
