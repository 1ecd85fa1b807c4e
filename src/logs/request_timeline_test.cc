#include "peridotshelf/logs/request_timeline.h"

#include <sstream>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::logs {
namespace {

class RequestTimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTimelineTest);
  CPPUNIT_TEST(AddLog_SeveralLogs_AreMergedByTime);
  CPPUNIT_TEST(AddLog_PrefixedAndOtherLines_KeepsOnlyTheRequest);
  CPPUNIT_TEST(AddLog_TruncatedLine_IsCounted);
  CPPUNIT_TEST(FindCause_Refused_NamesReasonAndRetryTime);
  CPPUNIT_TEST(FindCause_LostAnswer_SaysThatItMayHaveRun);
  CPPUNIT_TEST(FindCause_PausedStream_NamesThePause);
  CPPUNIT_TEST(FindCause_EmptyTimeline_SaysThatNoLogHasIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AddLog_SeveralLogs_AreMergedByTime() {
    const auto timeline =
        MakeTimeline({Line("02", "request_finished", "\"a\":1"),
                      Line("01", "request_placed", "\"b\":\"x\"")});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, timeline.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("request_placed"),
                         timeline.entries[0].event);
    CPPUNIT_ASSERT_EQUAL(std::string("b=x"), timeline.entries[0].details);
  }
  void AddLog_PrefixedAndOtherLines_KeepsOnlyTheRequest() {
    const auto timeline = MakeTimeline(
        {"  1.5 host-a " + Line("01", "request_placed", "\"a\":1"),
         "something else about r-1",
         R"({"time":"01","name":"request_placed","request":"r-12"})"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, timeline.entries.size());
  }
  void AddLog_TruncatedLine_IsCounted() {
    const auto timeline = MakeTimeline({R"({"time":"01","request":"r-1","na)"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, timeline.malformed_lines);
  }
  void FindCause_Refused_NamesReasonAndRetryTime() {
    const std::string cause = FindCause(MakeTimeline(
        {Line("01", "request_refused",
              "\"reason\":\"no_place\",\"retry_after_s\":1.5"),
         Line("02", "request_finished", "\"outcome\":\"refused\"")}));
    CPPUNIT_ASSERT(cause.find("no_place") != std::string::npos);
    CPPUNIT_ASSERT(cause.find("1.5 s") != std::string::npos);
  }
  void FindCause_LostAnswer_SaysThatItMayHaveRun() {
    const std::string cause = FindCause(MakeTimeline(
        {Line("01", "attempt_failed", "\"cause\":\"broken\""),
         Line("02", "request_finished",
              "\"outcome\":\"lost_at_engine\",\"engine\":\"i-1@0\"")}));
    CPPUNIT_ASSERT(cause.find("broken") != std::string::npos);
    CPPUNIT_ASSERT(cause.find("may have run") != std::string::npos);
  }
  void FindCause_PausedStream_NamesThePause() {
    const std::string cause = FindCause(
        MakeTimeline({Line("01", "stream_paused",
                           "\"pause_ms\":612,\"known_reading_ms\":540"),
                      Line("02", "request_finished",
                           "\"outcome\":\"served\",\"engine\":\"i-1@0\"")}));
    CPPUNIT_ASSERT(cause.find("612 ms") != std::string::npos);
  }
  void FindCause_EmptyTimeline_SaysThatNoLogHasIt() {
    CPPUNIT_ASSERT(FindCause(MakeTimeline({})).starts_with("No log"));
  }

 private:
  static std::string Line(const std::string& time, const std::string& name,
                          const std::string& fields) {
    return "{\"time\":\"" + time +
           "\",\"level\":\"info\",\"event\":1,\"name\":\"" + name +
           "\",\"process\":\"p\",\"request\":\"r-1\"," + fields + "}";
  }
  static RequestTimeline MakeTimeline(const std::vector<std::string>& lines) {
    RequestTimeline timeline;
    timeline.request_id = "r-1";
    for (const std::string& line : lines) {
      std::istringstream log(line + "\n");
      AddLog(timeline, log);
    }
    SortByTime(timeline);
    return timeline;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestTimelineTest);

}  // namespace
}  // namespace peridotshelf::logs
