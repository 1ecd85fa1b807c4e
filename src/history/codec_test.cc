#include "peridotshelf/history/codec.h"

#include <filesystem>
#include <fstream>

#include "history/history_builder.h"
#include "peridotshelf/history/recorder.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::history {
namespace {

/// Returns one event of each kind, with all fields different from the defaults.
std::vector<EventBody> MakeOneOfEachKind() {
  const AttemptId attempt{RequestId("r1"), 2};
  const BackendId backend("b1");
  const CallId call("c1");
  const ProcessId process("p1");
  return {
      Invocation{call, process, RequestSize::kLong, std::chrono::seconds(3),
                 true, "key", "text"},
      Admission{call, RequestId("r1")},
      Reservation{attempt, backend, ReservationState::kReleased, 7},
      ExecutionBegin{attempt, backend, "key"},
      ExecutionEnd{attempt, backend, ExecutionOutcome::kFailed},
      ChunkProduced{attempt, backend, 4, "\"x\"\n"},
      ChunkReceived{call, 5, "y"},
      Answer{call},
      Refusal{call, ErrorCode::kLeaving, true},
      CallerConnectionLost{call},
      HangUp{call},
      GivenUp{RequestId("r1")},
      ChangeAccepted{9, "peak"},
      ControlInForce{8, "peak"},
      MemoryHeld{backend, 11},
      LeaveMark{backend},
      PlannedStop{process, {backend}},
      ProcessStarted{process},
      ProcessEnded{process},
      ProcessKilled{process, {backend}},
      ProcessFrozen{process, {backend}},
      ProcessThawed{process},
      LogAvailability{false},
  };
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(Line_OfEachKind_RoundTrips);
  CPPUNIT_TEST(Line_WithUnknownNameOrMissingField_IsInvalidField);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Line_OfEachKind_RoundTrips() {
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<EventBody>,
                         MakeOneOfEachKind().size());
    for (const EventBody& body : MakeOneOfEachKind()) {
      const std::string line = FormatEvent(
          {TimePoint(std::chrono::nanoseconds(77)), ProcessId("p"), body});
      CPPUNIT_ASSERT(line.find('\n') == std::string::npos);
      const auto event = ParseEvent(line);
      CPPUNIT_ASSERT_MESSAGE(line, event.has_value());
      CPPUNIT_ASSERT_EQUAL(body.index(), event->body.index());
      CPPUNIT_ASSERT_EQUAL(line, FormatEvent(*event));
    }
  }
  void Line_WithUnknownNameOrMissingField_IsInvalidField() {
    for (const char* line :
         {R"({"kind":"answr","call":"c","time":1,"by":"p"})",
          R"({"kind":"answer","time":1,"by":"p"})",
          R"({"kind":"refusal","call":"c","code":"no_such_code",
              "not_run":true,"time":1,"by":"p"})",
          "{"}) {
      const auto event = ParseEvent(line);
      CPPUNIT_ASSERT_MESSAGE(line, !event.has_value());
      CPPUNIT_ASSERT(event.error().code == ErrorCode::kInvalidField);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

class RecorderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecorderTest);
  CPPUNIT_TEST(Files_OfTwoProcesses_MergeByTime);
  CPPUNIT_TEST(File_WithTruncatedLastLine_SkipsThatLine);
  CPPUNIT_TEST(File_WithMalformedLineInside_IsInvalidField);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_folder = std::filesystem::temp_directory_path() / MakeRandomId();
    std::filesystem::create_directory(m_folder);
  }
  void tearDown() override { std::filesystem::remove_all(m_folder); }

  void Files_OfTwoProcesses_MergeByTime() {
    auto first = Recorder::Open(Path("a"), ProcessId("a"));
    auto second = Recorder::Open(Path("b"), ProcessId("b"));
    (*first)->Record(Answer{CallId("1")});
    (*second)->Record(Answer{CallId("2")});
    (*first)->Record(Answer{CallId("3")});
    const std::vector<std::string> paths{Path("a"), Path("b")};
    const auto events = ReadHistory(paths);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, events->size());
    CPPUNIT_ASSERT_EQUAL(ProcessId("b"), events->at(1).process);
    CPPUNIT_ASSERT(events->at(0).time <= events->at(1).time);
  }
  void File_WithTruncatedLastLine_SkipsThatLine() {
    Write(R"({"kind":"answer","call":"c","time":1,"by":"p"})"
          "\n{\"kind\":\"ans");
    const std::vector<std::string> paths{Path("a")};
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ReadHistory(paths)->size());
  }
  void File_WithMalformedLineInside_IsInvalidField() {
    Write(
        "{\"kind\":\"ans\n"
        R"({"kind":"answer","call":"c","time":1,"by":"p"})"
        "\n");
    const std::vector<std::string> paths{Path("a")};
    CPPUNIT_ASSERT(ReadHistory(paths).error().code == ErrorCode::kInvalidField);
  }

 private:
  std::string Path(const std::string& name) { return m_folder / name; }
  void Write(const std::string& text) { std::ofstream(Path("a")) << text; }

  std::filesystem::path m_folder;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RecorderTest);

}  // namespace
}  // namespace peridotshelf::history
