#include "entry/answer_meter.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::entry {
namespace {

class AnswerMeterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerMeterTest);
  CPPUNIT_TEST(Completion_Finished_IsForwardedAndTimedByClass);
  CPPUNIT_TEST(Failure_NotRun_CountsAsRefusal);
  CPPUNIT_TEST(Request_WhileCallbacksExist_CountsAsOpen);
  CPPUNIT_TEST(Trace_WithStartAndRetry_RecordsRetryAndSlowdown);
  CPPUNIT_TEST(ClassifyRequest_ExceedsEveryEngine_IsGiant);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_text.clear();
    m_answer.on_chunk = [this](std::string_view data) { m_text += data; };
    m_answer.on_finished = [this](const AnswerSummary&) { m_text += "$"; };
    m_answer.on_failed = [this](const Error&) { m_text += "!"; };
  }
  void Completion_Finished_IsForwardedAndTimedByClass() {
    auto metered =
        MeterCompletion(m_metrics, policy::SizeClass::kLong, m_answer);
    metered.on_chunk("a");
    metered.on_chunk("b");
    metered.on_finished({});
    CPPUNIT_ASSERT_EQUAL(std::string("ab$"), m_text);
    const auto times = m_metrics.time_to_first_token.With("long").Snapshot();
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, times.total);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_metrics.requests.With("ok").Value());
  }
  void Failure_NotRun_CountsAsRefusal() {
    MeterServiceCall(m_metrics, m_answer)
        .on_failed({ErrorCode::kOverloaded, "", true, {}});
    MeterServiceCall(m_metrics, m_answer)
        .on_failed({ErrorCode::kDeadlineExceeded, "", false, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("!!"), m_text);
    metrics::CommonMetrics& common = m_metrics.common;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         common.refusals.With("overloaded").Value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         common.refusals.With("out_of_time").Value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         m_metrics.requests.With("out_of_time").Value());
  }
  void Request_WhileCallbacksExist_CountsAsOpen() {
    {
      const auto metered = MeterServiceCall(m_metrics, m_answer);
      CPPUNIT_ASSERT_EQUAL(int64_t{1},
                           m_metrics.open_requests.WithoutLabel().Value());
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{0},
                         m_metrics.open_requests.WithoutLabel().Value());
  }
  void Trace_WithStartAndRetry_RecordsRetryAndSlowdown() {
    auto metered =
        MeterCompletion(m_metrics, policy::SizeClass::kShort, m_answer);
    metered.on_chunk("a");
    attempts::RequestTrace trace;
    trace.steps.resize(2);
    trace.steps[0].kind = attempts::TraceKind::kRetryPlanned;
    trace.steps[1].kind = attempts::TraceKind::kStarted;
    metered.on_trace(trace);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_metrics.retries.WithoutLabel().Value());
    // The attempt started at time 0, so queueing added nothing to the time to
    // first token.
    const auto slowdown = m_metrics.short_slowdown.WithoutLabel().Snapshot();
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, slowdown.total);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, slowdown.sum, 1e-9);
  }
  void ClassifyRequest_ExceedsEveryEngine_IsGiant() {
    control::Configuration configuration;
    configuration.engines.resize(2);
    configuration.engines[0].model = "m";
    configuration.engines[0].memory_tokens = 1000;
    configuration.engines[1].model = "other";
    configuration.engines[1].memory_tokens = 1'000'000;
    CompletionRequest request;
    request.model = "m";
    request.prompt_tokens = 900;
    request.max_tokens = 100;
    CPPUNIT_ASSERT(ClassifyRequest(configuration, request) ==
                   policy::SizeClass::kShort);
    request.max_tokens = 101;
    CPPUNIT_ASSERT(ClassifyRequest(configuration, request) ==
                   policy::SizeClass::kGiant);
  }

 private:
  metrics::Registry m_registry;
  metrics::EntryMetrics m_metrics{m_registry};
  AnswerCallbacks m_answer;
  std::string m_text;
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMeterTest);

}  // namespace
}  // namespace peridotshelf::entry
