#include "peridotshelf/scheduling/engine_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr const char* kEngine = "e@1";

/// How callers' requests arrive at the entries.
enum class Demand {
  /// Each entry gets several requests per second.
  kEverywhere,
  /// All entries together get twice the limit.
  kSparse,
  /// The same, by callers that wait for 3 s.
  kSparseWaiting,
  /// One entry gets all requests.
  kOneEntry,
  /// No requests at first, then several per second at each entry.
  kSurge,
};

/// Entries that send requests to one limited engine and report to each other,
/// in virtual time. Changes reach up to 32 peers in rotation after 50 ms, and
/// all peers once a second.
class LimitedFleet {
 public:
  LimitedFleet(size_t entries, double limit, Demand demand, uint64_t seed)
      : m_limit(limit),
        m_demand(demand),
        m_random(seed),
        m_sharers{entries - 1, ReportDelay(entries)},
        m_waiting(entries),
        m_next_receiver(entries) {
    for (size_t i = 0; i < entries; ++i) {
      m_entries.push_back(std::make_unique<EngineRateLimits>(seed + i));
      m_entries.back()->NoteAnswer(kEngine, limit, kNow, kNow);
      m_names.push_back(std::to_string(i));
      m_report_phase.push_back(static_cast<int>(m_random() % kTicksPerSecond));
    }
  }

  void Run(int run_seconds) {
    const int ticks = run_seconds * kTicksPerSecond;
    for (int tick = 0; tick < ticks; ++tick) {
      m_now = kNow + tick * kTick;
      Deliver();
      for (size_t i = 0; i < m_entries.size(); ++i) {
        if (tick % kTicksPerSecond == m_report_phase[i]) Report(i, SIZE_MAX);
        SendRequests(i, tick);
      }
    }
  }

  /// Most requests within any 4 s.
  size_t CountInBusiestWindow() const {
    size_t busiest = 0;
    size_t begin = 0;
    for (size_t end = 0; end < m_sends.size(); ++end) {
      while (m_sends[end] - m_sends[begin] >= seconds(4)) ++begin;
      busiest = std::max(busiest, end - begin + 1);
    }
    return busiest;
  }
  /// Fraction of the limit, or of the demand if that is lower, that was used
  /// since `from` after the start.
  double UsedSince(Duration from) const {
    const auto first =
        std::lower_bound(m_sends.begin(), m_sends.end(), kNow + from);
    const double span =
        std::chrono::duration<double>(m_now - kNow - from).count();
    double wanted = 0;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      wanted += RequestsPerSecond(i, kSurgeAtSecond * kTicksPerSecond);
    }
    return static_cast<double>(m_sends.end() - first) / span /
           std::min(m_limit, wanted);
  }

 private:
  struct Message {
    TimePoint due{};
    size_t from = 0;
    size_t to = 0;
    RateLimitReport report;
  };

  static constexpr Duration kTick = milliseconds(20);
  static constexpr int kTicksPerSecond = 50;
  static constexpr size_t kMaxReceivers = 32;
  static constexpr Duration kTransit = milliseconds(50);
  static constexpr double kRequestsPerEntry = 4;
  static constexpr int kSurgeAtSecond = 8;

  static Duration ReportDelay(size_t entries) {
    return entries - 1 <= kMaxReceivers ? kTransit : kTransit + seconds(1);
  }

  double RequestsPerSecond(size_t entry, int tick) const {
    const auto entries = static_cast<double>(m_entries.size());
    switch (m_demand) {
      case Demand::kEverywhere:
        return kRequestsPerEntry;
      case Demand::kSparse:
      case Demand::kSparseWaiting:
        return 2 * m_limit / entries;
      case Demand::kOneEntry:
        return entry == 0 ? 10 * m_limit : 0;
      case Demand::kSurge:
        return tick < kSurgeAtSecond * kTicksPerSecond ? 0 : kRequestsPerEntry;
    }
    return 0;
  }

  void SendRequests(size_t entry, int tick) {
    std::poisson_distribution<int> arrivals(RequestsPerSecond(entry, tick) /
                                            kTicksPerSecond);
    EngineRateLimits& limits = *m_entries[entry];
    const int count =
        RequestsPerSecond(entry, tick) > 0 ? arrivals(m_random) : 0;
    std::deque<TimePoint>& waiting = m_waiting[entry];
    waiting.insert(waiting.end(), static_cast<size_t>(count), m_now);
    const Duration patience =
        m_demand == Demand::kSparseWaiting ? seconds(3) : Duration::zero();
    while (!waiting.empty()) {
      if (limits.TryAdmit(kEngine, m_sharers, m_now)) {
        limits.NoteSent(kEngine, m_now);
        m_sends.push_back(m_now);
        Report(entry, kMaxReceivers);
      } else if (m_now - waiting.front() < patience) {
        return;
      }
      waiting.pop_front();
    }
  }

  void Report(size_t from, size_t receivers) {
    const auto report = m_entries[from]->MakeReport(kEngine, m_now);
    const size_t others = m_entries.size() - 1;
    for (size_t i = 0; i < std::min(others, receivers); ++i) {
      size_t& next = m_next_receiver[from];
      next = (next + 1) % m_entries.size();
      if (next == from) next = (next + 1) % m_entries.size();
      m_messages.push_back({m_now + kTransit, from, next, *report});
    }
  }

  void Deliver() {
    size_t delivered = 0;
    while (delivered < m_messages.size() &&
           m_messages[delivered].due <= m_now) {
      const Message& message = m_messages[delivered++];
      m_entries[message.to]->ApplyReport(m_names[message.from], kEngine,
                                         message.report, m_now);
    }
    m_messages.erase(
        m_messages.begin(),
        m_messages.begin() + static_cast<std::ptrdiff_t>(delivered));
  }

  double m_limit;
  Demand m_demand;
  std::mt19937_64 m_random;
  LimitSharers m_sharers;
  TimePoint m_now{};
  std::vector<std::unique_ptr<EngineRateLimits>> m_entries;
  std::vector<std::string> m_names;
  std::vector<std::deque<TimePoint>> m_waiting;
  std::vector<int> m_report_phase;
  std::vector<size_t> m_next_receiver;
  std::deque<Message> m_messages;
  std::vector<TimePoint> m_sends;
};

class EngineRateLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineRateLimitsTest);
  CPPUNIT_TEST(TryAdmit_SmallFleets_KeepTheLimitAndUseIt);
  CPPUNIT_TEST(TryAdmit_LargeFleets_KeepTheLimitAndUseIt);
  CPPUNIT_TEST(TryAdmit_NoLimit_AdmitsAll);
  CPPUNIT_TEST(TryAdmit_PeerStopped_GetsItsShareAfterTheWindow);
  CPPUNIT_TEST(NoteAnswer_WithoutLimit_EndsIt);
  CPPUNIT_TEST(NoteAnswer_EarlierRequestWithoutLimit_LeavesIt);
  CPPUNIT_TEST(ApplyReport_EngineNeverAsked_LearnsTheLimit);
  CPPUNIT_TEST(ApplyReport_OlderStatement_IsIgnored);
  CPPUNIT_TEST(ApplyReport_LimitEnded_EndsIt);
  CPPUNIT_TEST(ApplyReport_ReportLost_CountsItsRequestsWithTheNext);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Bounds: one and a half times the limit and 5 requests in 4 s; half of the
  // limit is used while callers want more.
  void TryAdmit_SmallFleets_KeepTheLimitAndUseIt() {
    for (const uint64_t seed : {1, 2, 3, 4, 5}) {
      for (const size_t entries : {1, 5, 23}) {
        for (const double limit : {0.5, 1.0, 1.7, 5.0, 20.0}) {
          for (const Demand demand :
               {Demand::kEverywhere, Demand::kSparse, Demand::kSparseWaiting,
                Demand::kOneEntry, Demand::kSurge}) {
            CheckFleet(entries, limit, demand, seed);
          }
        }
      }
    }
  }
  // Sparse demand without waiting is left out: a request that may not wait
  // until its entry's demand is reported is mostly refused in a large fleet.
  void TryAdmit_LargeFleets_KeepTheLimitAndUseIt() {
    for (const size_t entries : {100, 390}) {
      for (const double limit : {1.0, 5.0}) {
        for (const Demand demand : {Demand::kEverywhere, Demand::kSparseWaiting,
                                    Demand::kOneEntry, Demand::kSurge}) {
          CheckFleet(entries, limit, demand, /*seed=*/1);
        }
      }
    }
  }
  void TryAdmit_NoLimit_AdmitsAll() {
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(m_limits.TryAdmit(kEngine, kOnePeer, kNow));
      m_limits.NoteSent(kEngine, kNow);
    }
  }
  // Guards against a share that is lost with its entry.
  void TryAdmit_PeerStopped_GetsItsShareAfterTheWindow() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    RateLimitReport report = MakeReport(1.0, kNow);
    report.sent = report.recently_sent = 4;
    report.demand_per_second = 1000;
    m_limits.ApplyReport("p", kEngine, report, kNow);
    CPPUNIT_ASSERT(!m_limits.TryAdmit(kEngine, kOnePeer, kNow + seconds(3)));
    m_limits.RemovePeer("p");
    CPPUNIT_ASSERT_EQUAL(4, CountAdmitted(kNow + seconds(5), kNoPeers));
  }
  void NoteAnswer_WithoutLimit_EndsIt() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    CPPUNIT_ASSERT(m_limits.NoteAnswer(
        kEngine, std::nullopt, kNow + milliseconds(1), kNow + milliseconds(2)));
    CPPUNIT_ASSERT(!m_limits.FindLimit(kEngine));
  }
  void NoteAnswer_EarlierRequestWithoutLimit_LeavesIt() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    CPPUNIT_ASSERT(!m_limits.NoteAnswer(
        kEngine, std::nullopt, kNow - milliseconds(1), kNow + milliseconds(2)));
    CPPUNIT_ASSERT(m_limits.FindLimit(kEngine) == 1.0);
  }
  void ApplyReport_EngineNeverAsked_LearnsTheLimit() {
    CPPUNIT_ASSERT(
        m_limits.ApplyReport("p", kEngine, MakeReport(2.0, kNow), kNow));
    CPPUNIT_ASSERT(m_limits.FindLimit(kEngine) == 2.0);
  }
  void ApplyReport_OlderStatement_IsIgnored() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    m_limits.ApplyReport("p", kEngine, MakeReport(2.0, kNow - seconds(1)),
                         kNow);
    CPPUNIT_ASSERT(m_limits.FindLimit(kEngine) == 1.0);
  }
  void ApplyReport_LimitEnded_EndsIt() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    const TimePoint later = kNow + seconds(1);
    CPPUNIT_ASSERT(m_limits.ApplyReport(
        "p", kEngine, MakeReport(std::nullopt, later), later));
    CPPUNIT_ASSERT(!m_limits.FindLimit(kEngine));
  }
  void ApplyReport_ReportLost_CountsItsRequestsWithTheNext() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    RateLimitReport report = MakeReport(1.0, kNow);
    report.sent = report.recently_sent = 1;
    m_limits.ApplyReport("p", kEngine, report, kNow);
    report.sent = 4;
    m_limits.ApplyReport("p", kEngine, report, kNow);
    CPPUNIT_ASSERT_EQUAL(0, CountAdmitted(kNow, kOnePeer));
  }

 private:
  static constexpr LimitSharers kNoPeers{};
  static constexpr LimitSharers kOnePeer{1, milliseconds(50)};

  static RateLimitReport MakeReport(std::optional<double> limit,
                                    TimePoint stated_at) {
    RateLimitReport report;
    report.per_second = limit;
    report.stated_at = stated_at;
    return report;
  }
  /// Returns how many of ten requests at `now` are sent.
  int CountAdmitted(TimePoint now, const LimitSharers& sharers) {
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
      if (!m_limits.TryAdmit(kEngine, sharers, now)) continue;
      m_limits.NoteSent(kEngine, now);
      ++admitted;
    }
    return admitted;
  }
  static void CheckFleet(size_t entries, double limit, Demand demand,
                         uint64_t seed) {
    constexpr int kSeconds = 36;
    constexpr double kMinUsed = 0.5;
    LimitedFleet fleet(entries, limit, demand, seed);
    fleet.Run(kSeconds);
    const size_t busiest = fleet.CountInBusiestWindow();
    const double used = fleet.UsedSince(seconds(16));
    const auto allowed = static_cast<size_t>(std::floor(1.5 * limit * 4 + 5));
    std::ostringstream text;
    text << entries << " entries, limit " << limit << ", demand "
         << static_cast<int>(demand) << ", seed " << seed << ": " << busiest
         << " in 4 s, allowed " << allowed << "; used " << used;
    CPPUNIT_ASSERT_MESSAGE(text.str(), busiest <= allowed);
    CPPUNIT_ASSERT_MESSAGE(text.str(), used >= kMinUsed);
  }

  EngineRateLimits m_limits{1};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineRateLimitsTest);

}  // namespace
}  // namespace peridotshelf::scheduling
