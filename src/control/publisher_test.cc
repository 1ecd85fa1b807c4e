#include "peridotshelf/control/publisher.h"

#include <deque>
#include <functional>

#include "control/test_records.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

using std::chrono::milliseconds;

/// The fault injected into one append.
enum class Fault { kNone, kRefused, kAckLost, kRecordLost, kAppendDelayed };

/// An in-memory log with scripted faults. Calls advance the virtual clock.
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
    if (fault == Fault::kRefused) return MakeError(true);
    if (fault == Fault::kRecordLost) return MakeError(false);
    if (fault == Fault::kAppendDelayed) {
      delayed_record = payload;
      return MakeError(false);
    }
    const int64_t offset = Add(payload);
    if (fault == Fault::kAckLost) return MakeError(false);
    return offset;
  }
  Result<platform::LogPage> Read(int64_t from, Duration wait) {
    m_clock->Advance(milliseconds(10));
    if (!is_readable) return MakeError(false);
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
    if (!delayed_record.empty())
      records.push_back(std::exchange(delayed_record, {}));
    return static_cast<int64_t>(records.size());
  }

  std::vector<std::string> records;
  int64_t first_offset = 1;
  std::deque<Fault> faults;
  std::function<void()> before_append;
  std::string delayed_record;
  bool is_readable = true;
  int append_calls = 0;

 private:
  static tl::unexpected<Error> MakeError(bool not_run) {
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
  CPPUNIT_TEST(Acknowledgement_LostAtAnyStep_ChangeIsAppliedOnce);
  CPPUNIT_TEST(Change_ConcurrentChangeAfterRead_IsSuperseded);
  CPPUNIT_TEST(Change_Invalid_IsNotAppended);
  CPPUNIT_TEST(Log_RejectsAllAppends_ChangeIsNotAppended);
  CPPUNIT_TEST(Log_DownAfterAppend_IsUnknownUntilSecondRun);
  CPPUNIT_TEST(Log_Truncated_ChangeIsNotAppended);
  CPPUNIT_TEST(ConcurrentChanges_AnyFaults_OneIsAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock = ManualClock();
    m_log.emplace(m_clock);
    m_log->records = {MakeConfigChange("c1", 0)};
  }

  void Change_Appended_IsAcceptedAtItsOffset() {
    const PublishResult result = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, result.version);
  }
  void Acknowledgement_LostAtAnyStep_ChangeIsAppliedOnce() {
    const std::vector<std::deque<Fault>> scripts = {
        {Fault::kAckLost},
        {Fault::kRecordLost},
        {Fault::kRefused, Fault::kAckLost},
        {Fault::kRecordLost, Fault::kRecordLost, Fault::kAckLost},
        {Fault::kAppendDelayed},
        {Fault::kAppendDelayed, Fault::kAckLost}};
    for (const auto& script : scripts) {
      setUp();
      m_log->faults = script;
      const PublishResult result = PublishPreset("p", 1, "peak");
      CPPUNIT_ASSERT(result.outcome == PublishOutcome::kAccepted);
      const ControlState state = ReadControlState();
      CPPUNIT_ASSERT_EQUAL(result.version, state.version);
      CPPUNIT_ASSERT_EQUAL(std::string("peak"), state.preset);
    }
  }
  void Change_ConcurrentChangeAfterRead_IsSuperseded() {
    m_log->before_append = [this] {
      if (m_log->records.size() == 1) {
        m_log->Add(MakePresetChange("rival", 1, "ordinary"));
      }
    };
    const PublishResult result = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kSuperseded);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, result.version);
    CPPUNIT_ASSERT_EQUAL(std::string("ordinary"), ReadControlState().preset);
  }
  void Change_Invalid_IsNotAppended() {
    const PublishResult result = PublishPreset("p", 1, "none");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::string("/body/name"), result.errors.at(0).path);
    CPPUNIT_ASSERT_EQUAL(0, m_log->append_calls);
  }
  void Log_RejectsAllAppends_ChangeIsNotAppended() {
    m_log->faults.assign(1000, Fault::kRefused);
    CPPUNIT_ASSERT(PublishPreset("p", 1, "peak").outcome ==
                   PublishOutcome::kNotAppended);
  }
  void Log_DownAfterAppend_IsUnknownUntilSecondRun() {
    m_log->faults = {Fault::kAckLost};
    m_log->before_append = [this] { m_log->is_readable = false; };
    const PublishResult first = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(first.outcome == PublishOutcome::kUnknown);
    m_log->is_readable = true;
    const PublishResult second = PublishPreset("p", 1, "peak");
    CPPUNIT_ASSERT(second.outcome == PublishOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, second.version);
    CPPUNIT_ASSERT_EQUAL(1, m_log->append_calls);
  }
  void Log_Truncated_ChangeIsNotAppended() {
    m_log->Add(MakePresetChange("p1", 1, "peak"));
    m_log->first_offset = 2;
    const PublishResult result = PublishPreset("p", 2, "ordinary");
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kNotAppended);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(Readiness::kHistoryLost)),
                         result.detail);
  }
  void ConcurrentChanges_AnyFaults_OneIsAccepted() {
    testing::CheckProperty("race", [this] {
      setUp();
      const auto faults = *rc::gen::container<std::deque<Fault>>(
          rc::gen::element(Fault::kNone, Fault::kRefused, Fault::kAckLost,
                           Fault::kRecordLost, Fault::kAppendDelayed));
      m_log->faults = faults;
      const PublishResult a = PublishPreset("a", 1, "peak");
      const PublishResult b = PublishPreset("b", 1, "ordinary");
      const ControlState state = ReadControlState();
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
  ControlState ReadControlState() {
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
