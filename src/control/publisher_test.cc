#include "peridotshelf/control/publisher.h"

#include <deque>
#include <functional>

#include "control/test_records.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

using std::chrono::milliseconds;

/// How the log treats one append.
enum class Fault { kNone, kRefused, kAckLost, kLostUnseen, kAppearsLate };

/// A log in memory with scripted faults; calls take virtual time.
class ScriptedLog {
 public:
  explicit ScriptedLog(ManualClock& clock) : m_clock(&clock) {}

  Result<int64_t> Append(const std::string& payload) {
    m_clock->Advance(milliseconds(10));
    ++append_calls;
    if (before_append) before_append();
    Fault fault = Fault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.pop_front();
    }
    if (fault == Fault::kRefused) return Refuse(true);
    if (fault == Fault::kLostUnseen) return Refuse(false);
    if (fault == Fault::kAppearsLate) {
      late = payload;
      return Refuse(false);
    }
    const int64_t offset = Add(payload);
    if (fault == Fault::kAckLost) return Refuse(false);
    return offset;
  }
  Result<platform::LogPage> Read(int64_t from, Duration wait) {
    m_clock->Advance(milliseconds(10));
    if (!readable) return Refuse(false);
    platform::LogPage page;
    page.first_offset = first_offset;
    page.next_offset = static_cast<int64_t>(records.size()) + 1;
    for (int64_t at = std::max(from, first_offset); at < page.next_offset;
         ++at) {
      page.records.push_back({at, records[static_cast<size_t>(at - 1)]});
    }
    if (page.records.empty()) m_clock->Advance(wait);
    return page;
  }
  int64_t Add(std::string payload) {
    records.push_back(std::move(payload));
    if (!late.empty()) records.push_back(std::exchange(late, {}));
    return static_cast<int64_t>(records.size());
  }

  std::vector<std::string> records;
  int64_t first_offset = 1;
  std::deque<Fault> faults;
  std::function<void()> before_append;
  std::string late;
  bool readable = true;
  int append_calls = 0;

 private:
  static tl::unexpected<Error> Refuse(bool not_run) {
    return tl::unexpected<Error>(
        Error{ErrorCode::kPlatformUnavailable, "scripted", not_run, {}});
  }
  ManualClock* m_clock;
};

struct VirtualClock {
  ManualClock* clock;
  TimePoint Now() const { return clock->Now(); }
  void Sleep(Duration span) { clock->Advance(span); }
};

class PublisherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublisherTest);
  CPPUNIT_TEST(Change_Appended_IsAcceptedAtItsOffset);
  CPPUNIT_TEST(Acknowledgement_LostAtAnyStep_IsSettledAndCountsOnce);
  CPPUNIT_TEST(Change_RacedAfterRead_LosesToVersion);
  CPPUNIT_TEST(Change_NotValid_IsNotAppended);
  CPPUNIT_TEST(Log_RefusesAll_ChangeIsNotAppended);
  CPPUNIT_TEST(Log_DownAfterAppend_IsUnknownAndSettledBySecondRun);
  CPPUNIT_TEST(Log_Truncated_ChangeIsNotAppended);
  CPPUNIT_TEST(Operators_RacingUnderAnyFaults_OneWins);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock = ManualClock();
    m_log.emplace(m_clock);
    m_log->records = {Config("c1", 0)};
  }

  void Change_Appended_IsAcceptedAtItsOffset() {
    const PublishResult result = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, result.version);
  }
  void Acknowledgement_LostAtAnyStep_IsSettledAndCountsOnce() {
    const std::vector<std::deque<Fault>> scripts = {
        {Fault::kAckLost},
        {Fault::kLostUnseen},
        {Fault::kRefused, Fault::kAckLost},
        {Fault::kLostUnseen, Fault::kLostUnseen, Fault::kAckLost},
        {Fault::kAppearsLate},
        {Fault::kAppearsLate, Fault::kAckLost}};
    for (const auto& script : scripts) {
      setUp();
      m_log->faults = script;
      const PublishResult result = PublishPreset("p", 1, "peak");
      CPPUNIT_ASSERT(result.outcome == PublishOutcome::kAccepted);
      const ControlState state = Folded();
      CPPUNIT_ASSERT_EQUAL(result.version, state.version);
      CPPUNIT_ASSERT_EQUAL(std::string("peak"), state.preset);
    }
  }
  void Change_RacedAfterRead_LosesToVersion() {
    m_log->before_append = [this] {
      if (m_log->records.size() == 1) {
        m_log->Add(PresetChange("rival", 1, "ordinary"));
      }
    };
    const PublishResult result = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kLost);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, result.version);
    CPPUNIT_ASSERT_EQUAL(std::string("ordinary"), Folded().preset);
  }
  void Change_NotValid_IsNotAppended() {
    const PublishResult result = PublishPreset("p", 1, "none");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::string("/body/name"), result.faults.at(0).path);
    CPPUNIT_ASSERT_EQUAL(0, m_log->append_calls);
  }
  void Log_RefusesAll_ChangeIsNotAppended() {
    m_log->faults.assign(1000, Fault::kRefused);
    CPPUNIT_ASSERT(PublishPreset("p", 1, "peak").outcome ==
                   PublishOutcome::kNotAppended);
  }
  void Log_DownAfterAppend_IsUnknownAndSettledBySecondRun() {
    m_log->faults = {Fault::kAckLost};
    m_log->before_append = [this] { m_log->readable = false; };
    const PublishResult first = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(first.outcome == PublishOutcome::kUnknown);
    m_log->readable = true;
    const PublishResult second = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(second.outcome == PublishOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, second.version);
    CPPUNIT_ASSERT_EQUAL(1, m_log->append_calls);
  }
  void Log_Truncated_ChangeIsNotAppended() {
    m_log->Add(PresetChange("p1", 1, "peak"));
    m_log->first_offset = 2;
    const PublishResult result = PublishPreset("p", 2, "ordinary");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kNotAppended);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(Readiness::kHistoryLost)),
                         result.detail);
  }
  void Operators_RacingUnderAnyFaults_OneWins() {
    testing::CheckProperty("race", [this] {
      setUp();
      const auto faults = *rc::gen::container<std::deque<Fault>>(
          rc::gen::element(Fault::kNone, Fault::kRefused, Fault::kAckLost,
                           Fault::kLostUnseen, Fault::kAppearsLate));
      m_log->faults = faults;
      const PublishResult a = PublishPreset("a", 1, "peak");
      const PublishResult b = PublishPreset("b", 1, "ordinary");
      const ControlState state = Folded();
      if (a.outcome == PublishOutcome::kAccepted) {
        RC_ASSERT(b.outcome != PublishOutcome::kAccepted);
        RC_ASSERT(state.preset == "peak" && state.version == a.version);
      }
      if (a.outcome == PublishOutcome::kNotAppended) {
        RC_ASSERT(state.preset == "ordinary");
      }
    });
  }

 private:
  PublishResult PublishPreset(const std::string& change_id, ControlVersion base,
                              const std::string& name) {
    VirtualClock clock{&m_clock};
    RecordHeader header;
    header.kind = RecordKind::kPreset;
    header.change_id = change_id;
    header.base_version = base;
    header.operator_name = "tester";
    Publisher publisher(*m_log, clock);
    return publisher.Publish(header, R"({"name":")" + name + R"("})");
  }
  ControlState Folded() {
    LogState state;
    for (const std::string& payload : m_log->records) {
      ApplyRecord(state, {state.applied_offset + 1, payload});
    }
    return state.control;
  }
  ManualClock m_clock;
  std::optional<ScriptedLog> m_log;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PublisherTest);

}  // namespace
}  // namespace peridotshelf::control
