#include "peridotshelf/scheduling/hedging.h"

#include <algorithm>
#include <random>
#include <vector>

#include "peridotshelf/scheduling/fleet_retry_budget.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin{std::chrono::hours(1)};
constexpr Millis kPredictedMs = 100;
/// Time between two questions about the same request.
constexpr Millis kAskIntervalMs = 10;
constexpr Millis kLongestMs = 5000;

TimePoint After(TimePoint from, Millis millis) {
  return from + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>(millis));
}

/// What the requests of a schedule met.
struct Outcome {
  size_t requests = 0;
  size_t hedges = 0;
  size_t loaded = 0;
  size_t limit_used = 0;
  Millis engine_ms = 0;
  Millis hedge_ms = 0;
  /// Times to the first answer.
  std::vector<Millis> answers;

  Millis Quantile(double q) {
    std::sort(answers.begin(), answers.end());
    return answers[static_cast<size_t>(
        q * static_cast<double>(answers.size() - 1))];
  }
};

/// Plays requests to a policy in virtual time, one after the other. Each
/// question states an idle engine with the predicted time, unless a test
/// changes it.
class Schedule {
 public:
  explicit Schedule(const HedgeOptions& options)
      : m_policy(options), m_random(17) {}

  /// Sends `count` requests, `m_interval` apart. `draw_ms` returns the time of
  /// the first attempt.
  template <class Draw>
  Outcome Play(size_t count, Draw draw_ms) {
    Outcome outcome;
    for (size_t i = 0; i < count; ++i) {
      m_now += m_interval;
      PlayOne(draw_ms(m_random), outcome);
    }
    return outcome;
  }

  HedgePolicy& policy() { return m_policy; }
  HedgeQuestion& question() { return m_question; }
  TimePoint now() const { return m_now; }

 private:
  void PlayOne(Millis first_ms, Outcome& outcome) {
    ++outcome.requests;
    m_policy.NoteRequest("service", m_now);
    Millis asked_ms = 0;
    while (asked_ms < first_ms && asked_ms < kLongestMs) {
      const HedgeVerdict verdict = Ask(asked_ms);
      outcome.loaded += verdict == HedgeVerdict::kLoaded ? 1 : 0;
      outcome.limit_used += verdict == HedgeVerdict::kLimitUsed ? 1 : 0;
      if (verdict == HedgeVerdict::kSend) {
        PlayHedge(first_ms, asked_ms, outcome);
        return;
      }
      asked_ms += kAskIntervalMs;
    }
    const TimePoint ended = After(m_now, first_ms);
    m_policy.NoteAnswer("class", first_ms / kPredictedMs, ended);
    NoteFirst(first_ms, ended, outcome);
  }
  HedgeVerdict Ask(Millis elapsed_ms) {
    m_question.elapsed_ms = elapsed_ms;
    return m_policy.Decide(m_question, After(m_now, elapsed_ms));
  }
  void PlayHedge(Millis first_ms, Millis sent_ms, Outcome& outcome) {
    ++outcome.hedges;
    const TimePoint sent_at = After(m_now, sent_ms);
    const Millis hedged_ms = std::min(first_ms, sent_ms + kPredictedMs);
    m_policy.NoteHedge("service", ++m_hedge, kPredictedMs, sent_at);
    m_policy.NoteHedgeEnd("service", m_hedge, hedged_ms - sent_ms);
    m_policy.NoteCancelled("class", hedged_ms / kPredictedMs, sent_at);
    outcome.hedge_ms += hedged_ms - sent_ms;
    NoteFirst(hedged_ms, sent_at, outcome);
  }
  void NoteFirst(Millis ms, TimePoint at, Outcome& outcome) {
    m_policy.NoteEngineTime("service", ms, at);
    outcome.engine_ms += ms;
    outcome.answers.push_back(ms);
  }

  HedgePolicy m_policy;
  std::mt19937_64 m_random;
  HedgeQuestion m_question{.service = "service",
                           .request_class = "class",
                           .predicted_ms = kPredictedMs,
                           .time_left_ms = kLongestMs,
                           .hedge_ms = kPredictedMs,
                           .engine_ms = kPredictedMs,
                           .attempts_left = 1,
                           .budget_share_left = 1};
  TimePoint m_now = kBegin;
  /// Longer than a request, so that its notes come in order of time.
  Duration m_interval = milliseconds(200);
  uint64_t m_hedge = 0;
};

/// Answers within 20 % of the prediction.
Millis DrawPunctual(std::mt19937_64& random) {
  return kPredictedMs *
         std::uniform_real_distribution<double>(0.8, 1.2)(random);
}

/// A share of the answers takes ten times the prediction.
auto DrawWithStalls(double share) {
  return [share](std::mt19937_64& random) {
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    return draw < share ? 10 * kPredictedMs : DrawPunctual(random);
  };
}

HedgeOptions MakeOptions(double share) {
  return HedgeOptions::Builder().SetRequestShare(share).Build();
}

class HedgeOptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgeOptionsTest);
  CPPUNIT_TEST(Build_Default_IsOff);
  CPPUNIT_TEST(Build_OnlyRequestShare_IsShareOfEngineTimeToo);
  CPPUNIT_TEST(Build_ShareOutOfRange_IsLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Build_Default_IsOff() {
    CPPUNIT_ASSERT(!HedgeOptions::Builder().Build().IsEnabled());
  }
  void Build_OnlyRequestShare_IsShareOfEngineTimeToo() {
    CPPUNIT_ASSERT_EQUAL(0.07, MakeOptions(0.07).engine_time_share);
    CPPUNIT_ASSERT_EQUAL(0.01, HedgeOptions::Builder()
                                   .SetEngineTimeShare(0.01)
                                   .SetRequestShare(0.07)
                                   .Build()
                                   .engine_time_share);
  }
  void Build_ShareOutOfRange_IsLimited() {
    CPPUNIT_ASSERT_EQUAL(kMaxHedgeShare, MakeOptions(3).request_share);
    CPPUNIT_ASSERT(!MakeOptions(-1).IsEnabled());
  }
};

class HedgePolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgePolicyTest);
  CPPUNIT_TEST(Decide_SomeStalls_CutsTheSlowestAnswers);
  CPPUNIT_TEST(Decide_SomeStalls_StaysWithinFivePercentOfEngineTime);
  CPPUNIT_TEST(Decide_StallsForLong_HedgesTheLastAsTheFirst);
  CPPUNIT_TEST(Decide_AllEnginesSlow_KeepsTheLimit);
  CPPUNIT_TEST(Decide_PunctualAnswers_SendsNone);
  CPPUNIT_TEST(Decide_SmallSample_SendsNone);
  CPPUNIT_TEST(Decide_QueueNotEmpty_SendsNone);
  CPPUNIT_TEST(Decide_NoEngine_SendsNone);
  CPPUNIT_TEST(Decide_SlowOtherEngine_SendsNone);
  CPPUNIT_TEST(Decide_HalfOfBudgetSpent_SendsNone);
  CPPUNIT_TEST(Decide_AttemptsUsedUpOrSuspect_IsNotAllowed);
  CPPUNIT_TEST(Decide_DeadlineBeforeHedgeAnswers_SendsNone);
  CPPUNIT_TEST(Decide_LimitUsedUp_SendsAgainAfterTheWindow);
  CPPUNIT_TEST(Decide_EngineTimeUsedUp_IsLimitUsed);
  CPPUNIT_TEST(Decide_AnyLoad_KeepsBothLimitsInEachWindow);
  CPPUNIT_TEST(FindDelay_LowRatios_IsThePrediction);
  CPPUNIT_TEST(FindDelay_Off_IsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a hedge that comes too late to help.
  void Decide_SomeStalls_CutsTheSlowestAnswers() {
    Schedule hedged(MakeOptions(0.05));
    Schedule plain(MakeOptions(0));
    hedged.Play(500, DrawWithStalls(0.03));
    plain.Play(500, DrawWithStalls(0.03));
    Outcome with = hedged.Play(2000, DrawWithStalls(0.03));
    Outcome without = plain.Play(2000, DrawWithStalls(0.03));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, without.hedges);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, without.Quantile(0.99), 1);
    CPPUNIT_ASSERT(with.Quantile(0.99) < 0.27 * without.Quantile(0.99));
  }
  void Decide_SomeStalls_StaysWithinFivePercentOfEngineTime() {
    Schedule schedule(MakeOptions(0.05));
    const Outcome outcome = schedule.Play(2000, DrawWithStalls(0.03));
    CPPUNIT_ASSERT(outcome.hedges > 30);
    CPPUNIT_ASSERT(outcome.hedges <= outcome.requests / 20);
    CPPUNIT_ASSERT(outcome.hedge_ms <= 0.05 * outcome.engine_ms);
  }
  /// Cancelled attempts end early. Taken as measured, they would make the
  /// distribution forget the stalls, and the policy stop hedging them.
  void Decide_StallsForLong_HedgesTheLastAsTheFirst() {
    Schedule schedule(MakeOptions(0.05));
    // The hedges are faster than predicted.
    schedule.question().hedge_ms = 1.2 * kPredictedMs;
    schedule.Play(2000, DrawWithStalls(0.03));
    Outcome later = schedule.Play(2000, DrawWithStalls(0.03));
    CPPUNIT_ASSERT(later.hedges > 40);
    CPPUNIT_ASSERT(later.Quantile(0.99) < 270);
  }
  /// When everything is slow, hedges add to the load.
  void Decide_AllEnginesSlow_KeepsTheLimit() {
    Schedule schedule(MakeOptions(0.05));
    schedule.Play(500, &DrawPunctual);
    const Outcome slow = schedule.Play(
        1000, [](std::mt19937_64& random) { return 5 * DrawPunctual(random); });
    CPPUNIT_ASSERT(slow.limit_used > 0);
    // The window at the beginning also has requests from before.
    CPPUNIT_ASSERT(slow.hedges <= (slow.requests + 300) / 20);
  }
  void Decide_PunctualAnswers_SendsNone() {
    Schedule schedule(MakeOptions(0.05));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, schedule.Play(2000, &DrawPunctual).hedges);
  }
  void Decide_SmallSample_SendsNone() {
    Schedule schedule(MakeOptions(0.5));
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         schedule.Play(100, DrawWithStalls(0.1)).hedges);
    CPPUNIT_ASSERT(schedule.Play(100, DrawWithStalls(0.1)).hedges > 0);
  }
  void Decide_QueueNotEmpty_SendsNone() {
    Schedule schedule(MakeOptions(0.05));
    schedule.question().queued = 1;
    const Outcome outcome = schedule.Play(1000, DrawWithStalls(0.03));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, outcome.hedges);
    CPPUNIT_ASSERT(outcome.loaded > 0);
  }
  void Decide_NoEngine_SendsNone() {
    Schedule schedule(MakeOptions(0.05));
    schedule.question().hedge_ms.reset();
    const Outcome outcome = schedule.Play(1000, DrawWithStalls(0.03));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, outcome.hedges);
    CPPUNIT_ASSERT(outcome.loaded > 0);
  }
  void Decide_SlowOtherEngine_SendsNone() {
    Schedule schedule(MakeOptions(0.05));
    schedule.question().hedge_ms = 10 * kPredictedMs;
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         schedule.Play(1000, DrawWithStalls(0.03)).hedges);
  }
  /// Hedges must leave retries of failures their budget.
  void Decide_HalfOfBudgetSpent_SendsNone() {
    FleetRetryBudget budget({.ratio = 0, .slack = 10},
                            kBegin - std::chrono::minutes(1));
    while (budget.RemainingShare(kBegin, 1) > 0.5) {
      CPPUNIT_ASSERT(budget.TryClaim(kBegin, 1));
      CPPUNIT_ASSERT(budget.TrySend(kBegin, 1));
    }
    Schedule schedule(MakeOptions(0.05));
    schedule.Play(500, DrawWithStalls(0.03));
    schedule.question().budget_share_left =
        budget.RemainingShare(kBegin, 1) - 0.01;
    const Outcome spent = schedule.Play(500, DrawWithStalls(0.03));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, spent.hedges);
    CPPUNIT_ASSERT(spent.limit_used > 0);
    CPPUNIT_ASSERT(budget.Remaining(kBegin, 1) >= 1);
  }
  void Decide_AttemptsUsedUpOrSuspect_IsNotAllowed() {
    Schedule schedule(MakeOptions(0.05));
    schedule.Play(500, DrawWithStalls(0.03));
    schedule.question().elapsed_ms = 5 * kPredictedMs;
    schedule.question().attempts_left = 0;
    CPPUNIT_ASSERT(HedgeVerdict::kNotAllowed ==
                   schedule.policy().Decide(schedule.question(), kBegin));
    schedule.question().attempts_left = 1;
    schedule.question().is_suspect = true;
    CPPUNIT_ASSERT(HedgeVerdict::kNotAllowed ==
                   schedule.policy().Decide(schedule.question(), kBegin));
  }
  void Decide_DeadlineBeforeHedgeAnswers_SendsNone() {
    Schedule schedule(MakeOptions(0.05));
    schedule.question().time_left_ms = kPredictedMs / 2;
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         schedule.Play(1000, DrawWithStalls(0.03)).hedges);
  }
  void Decide_LimitUsedUp_SendsAgainAfterTheWindow() {
    Schedule schedule(MakeOptions(0.01));
    schedule.Play(500, &DrawPunctual);
    const Outcome used = schedule.Play(50, DrawWithStalls(1));
    CPPUNIT_ASSERT(used.hedges >= 1 && used.hedges <= 3);
    CPPUNIT_ASSERT(used.limit_used > 0);
    // 600 requests take two windows, and replace the stalls in the
    // distribution.
    schedule.Play(600, &DrawPunctual);
    CPPUNIT_ASSERT(schedule.Play(50, DrawWithStalls(1)).hedges >= 1);
  }
  void Decide_EngineTimeUsedUp_IsLimitUsed() {
    Schedule schedule(HedgeOptions::Builder()
                          .SetRequestShare(0.5)
                          .SetEngineTimeShare(0.01)
                          .Build());
    schedule.Play(500, &DrawPunctual);
    const Outcome used = schedule.Play(100, DrawWithStalls(0.2));
    CPPUNIT_ASSERT(used.limit_used > 0);
    CPPUNIT_ASSERT(used.hedges >= 1 && used.hedges <= 4);
  }
  /// The sum over all gateways is only within the limit if each of them is,
  /// whatever its load.
  void Decide_AnyLoad_KeepsBothLimitsInEachWindow() {
    testing::CheckProperty("both limits hold", [] {
      const double share = *rc::gen::element(0.01, 0.05, 0.2, 0.5);
      const auto bursts =
          *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 400));
      const HedgeOptions options = MakeOptions(share);
      HedgePolicy policy(options);
      std::vector<TimePoint> requests;
      std::vector<TimePoint> hedges;
      HedgeQuestion question{.service = "s",
                             .request_class = "c",
                             .predicted_ms = 1,
                             .elapsed_ms = 50,
                             .time_left_ms = 1000,
                             .hedge_ms = 1,
                             .engine_ms = 1,
                             .attempts_left = 1,
                             .budget_share_left = 1};
      TimePoint now = kBegin;
      for (int i = 0; i < 200; ++i) policy.NoteAnswer("c", 1, now);
      for (const int burst : bursts) {
        for (int i = 0; i < burst; ++i) {
          now += milliseconds(7);
          policy.NoteRequest("s", now);
          policy.NoteEngineTime("s", 1, now);
          requests.push_back(now);
          if (policy.Decide(question, now) != HedgeVerdict::kSend) continue;
          policy.NoteHedge("s", hedges.size(), 1, now);
          hedges.push_back(now);
          const auto in_window = [&](const std::vector<TimePoint>& times) {
            return std::count_if(times.begin(), times.end(), [&](TimePoint at) {
              return at > now - options.window;
            });
          };
          RC_ASSERT(static_cast<double>(in_window(hedges)) <=
                    share * static_cast<double>(in_window(requests)));
        }
        now += seconds(20);
      }
    });
  }
  void FindDelay_LowRatios_IsThePrediction() {
    HedgePolicy policy(MakeOptions(0.05));
    for (int i = 0; i < 200; ++i) policy.NoteAnswer("class", 0.5, kBegin);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, *policy.FindDelay("class", 40), 1e-6);
    CPPUNIT_ASSERT(!policy.FindDelay("class", 0));
    CPPUNIT_ASSERT(!policy.FindDelay("another", 40));
  }
  void FindDelay_Off_IsNone() {
    HedgePolicy policy{HedgeOptions()};
    for (int i = 0; i < 200; ++i) policy.NoteAnswer("class", 1, kBegin);
    CPPUNIT_ASSERT(!policy.FindDelay("class", 40));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgeOptionsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(HedgePolicyTest);

}  // namespace
}  // namespace peridotshelf::scheduling
