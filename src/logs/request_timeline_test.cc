#include "peridotshelf/logs/request_timeline.h"

#include <sstream>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::logs {
namespace {

class RequestStoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestStoryTest);
  CPPUNIT_TEST(AddLog_SeveralLogs_AreJoinedInOrderOfTime);
  CPPUNIT_TEST(AddLog_PrefixedAndForeignLines_KeepsOnlyTheRequest);
  CPPUNIT_TEST(AddLog_CutLine_IsCounted);
  CPPUNIT_TEST(CauseOf_Refused_NamesReasonAndTimeToComeBack);
  CPPUNIT_TEST(CauseOf_LostAnswer_SaysThatItMayHaveRun);
  CPPUNIT_TEST(CauseOf_LateStream_NamesThePause);
  CPPUNIT_TEST(CauseOf_NoLine_SaysSo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AddLog_SeveralLogs_AreJoinedInOrderOfTime() {
    const auto story = StoryOf({Line("02", "request_finished", "\"a\":1"),
                                Line("01", "request_placed", "\"b\":\"x\"")});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, story.lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("request_placed"), story.lines[0].event);
    CPPUNIT_ASSERT_EQUAL(std::string("b=x"), story.lines[0].details);
  }
  void AddLog_PrefixedAndForeignLines_KeepsOnlyTheRequest() {
    const auto story =
        StoryOf({"  1.5 host-a " + Line("01", "request_placed", "\"a\":1"),
                 "something else about r-1",
                 R"({"time":"01","name":"request_placed","request":"r-12"})"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, story.lines.size());
  }
  void AddLog_CutLine_IsCounted() {
    const auto story = StoryOf({R"({"time":"01","request":"r-1","na)"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, story.unreadable);
  }
  void CauseOf_Refused_NamesReasonAndTimeToComeBack() {
    const std::string cause = FindCause(
        StoryOf({Line("01", "request_refused",
                      "\"reason\":\"no_place\",\"retry_after_s\":1.5"),
                 Line("02", "request_finished", "\"outcome\":\"refused\"")}));
    CPPUNIT_ASSERT(cause.find("no_place") != std::string::npos);
    CPPUNIT_ASSERT(cause.find("1.5 s") != std::string::npos);
  }
  void CauseOf_LostAnswer_SaysThatItMayHaveRun() {
    const std::string cause = FindCause(
        StoryOf({Line("01", "attempt_failed", "\"cause\":\"broken\""),
                 Line("02", "request_finished",
                      "\"outcome\":\"lost_at_engine\",\"engine\":\"i-1@0\"")}));
    CPPUNIT_ASSERT(cause.find("broken") != std::string::npos);
    CPPUNIT_ASSERT(cause.find("may have run") != std::string::npos);
  }
  void CauseOf_LateStream_NamesThePause() {
    const std::string cause = FindCause(
        StoryOf({Line("01", "stream_paused",
                      "\"pause_ms\":612,\"known_reading_ms\":540"),
                 Line("02", "request_finished",
                      "\"outcome\":\"served\",\"engine\":\"i-1@0\"")}));
    CPPUNIT_ASSERT(cause.find("612 ms") != std::string::npos);
  }
  void CauseOf_NoLine_SaysSo() {
    CPPUNIT_ASSERT(FindCause(StoryOf({})).starts_with("No log"));
  }

 private:
  static std::string Line(const std::string& time, const std::string& name,
                          const std::string& fields) {
    return "{\"time\":\"" + time +
           "\",\"level\":\"info\",\"event\":1,\"name\":\"" + name +
           "\",\"process\":\"p\",\"request\":\"r-1\"," + fields + "}";
  }
  static RequestTimeline StoryOf(const std::vector<std::string>& lines) {
    RequestTimeline story;
    story.request_id = "r-1";
    for (const std::string& line : lines) {
      std::istringstream log(line + "\n");
      AddLog(story, log);
    }
    Order(story);
    return story;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestStoryTest);

}  // namespace
}  // namespace peridotshelf::logs
