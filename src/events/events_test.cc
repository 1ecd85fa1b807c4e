#include <poll.h>
#include <unistd.h>

#include <climits>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <string>

#include "peridotshelf/events/log.h"
#include "peridotshelf/testing/drawn_inputs.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::events {
namespace {

class CatalogueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogueTest);
  CPPUNIT_TEST(AllEvents_Numbers_Ascend);
  CPPUNIT_TEST(AllEvents_ComparedWithDocs_Agree);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllEvents_Numbers_Ascend() {
    int previous = 0;
    for (const EventInfo& info : AllEvents()) {
      CPPUNIT_ASSERT(static_cast<int>(info.id) > previous);
      CPPUNIT_ASSERT(&FindEventInfo(info.id) == &info);
      previous = static_cast<int>(info.id);
    }
  }
  void AllEvents_ComparedWithDocs_Agree() {
    std::set<std::string> in_code;
    for (const EventInfo& info : AllEvents()) {
      in_code.insert(std::to_string(static_cast<int>(info.id)) + " " +
                     std::string(info.name));
    }
    std::set<std::string> in_docs;
    std::ifstream docs(PERIDOTSHELF_SOURCE_DIR "/docs/events.md");
    const std::regex row(R"(^\| (\d+) \| `([a-z_]+)` \| .+ \|$)");
    for (std::string line; std::getline(docs, line);) {
      std::smatch match;
      if (std::regex_match(line, match, row)) {
        in_docs.insert(match[1].str() + " " + match[2].str());
      }
    }
    CPPUNIT_ASSERT(in_code == in_docs);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueTest);

class FormatLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FormatLineTest);
  CPPUNIT_TEST(FormatLine_WithFields_IsOneJsonObject);
  CPPUNIT_TEST(FormatLine_BytesThatAreNotUtf8_CanBeTold);
  CPPUNIT_TEST(FormatLine_LongTexts_AreCutToOneWrite);
  CPPUNIT_TEST(FormatLine_AnyTexts_IsJsonOfOneWrite);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FormatLine_WithFields_IsOneJsonObject() {
    const std::string line =
        FormatLine(EventId::kPeerLost, "entry-1", "2026-01-01T00:00:00.000Z",
                   {{"peer", "h1\n"}, {"streams", 3}});
    CPPUNIT_ASSERT(line.find('\n') == std::string::npos);
    const auto parsed = nlohmann::json::parse(line);
    CPPUNIT_ASSERT(parsed.at("event") == 801);
    CPPUNIT_ASSERT(parsed.at("peer") == "h1\n");
    CPPUNIT_ASSERT(parsed.at("streams") == 3);
  }
  // Guards against two ids that look the same in the log.
  void FormatLine_BytesThatAreNotUtf8_CanBeTold() {
    const auto parsed = Format("r\xE9\\", "\\");
    CPPUNIT_ASSERT(parsed.at("peer") == "r\\xE9\\\\");
    CPPUNIT_ASSERT(parsed.at("reason") == "\\");
    CPPUNIT_ASSERT(parsed.at("escaped") == nlohmann::json::array({"peer"}));
    CPPUNIT_ASSERT(!Format("a", "b").contains("escaped"));
  }
  // Guards against a long id of a caller that keeps its lines out of the log.
  void FormatLine_LongTexts_AreCutToOneWrite() {
    const std::string text(15'000, 'x');
    const auto parsed = Format(text, "short");
    CPPUNIT_ASSERT(parsed.at("cut").at("peer") == text.size());
    CPPUNIT_ASSERT(text.starts_with(parsed.at("peer").get<std::string>()));
    CPPUNIT_ASSERT(parsed.at("peer").get<std::string>().size() >= 1000);
    CPPUNIT_ASSERT(parsed.at("reason") == "short");
  }
  void FormatLine_AnyTexts_IsJsonOfOneWrite() {
    testing::CheckProperty("any texts", [] {
      const auto parsed = Format(*testing::DrawBytes(), *testing::DrawBytes());
      RC_ASSERT(parsed.contains("peer"));
    });
  }

 private:
  /// Returns the line with two fields; checks that it is written at once.
  static nlohmann::json Format(const std::string& peer,
                               const std::string& reason) {
    const std::string line =
        FormatLine(EventId::kPeerLost, "entry-1", "2026-01-01T00:00:00.000Z",
                   {{"peer", peer}, {"reason", reason}});
    CPPUNIT_ASSERT(line.size() < PIPE_BUF);
    return nlohmann::json::parse(line);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FormatLineTest);

class StandardOutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandardOutputTest);
  CPPUNIT_TEST(Log_OutputFull_DropsAndCountsLinesWithoutBlocking);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Standard output is a pipe without a reader. Logging more than the pipe
  /// holds must drop lines instead of blocking, with each event below its limit
  /// per second. After the pipe is read, the next log call reports how many
  /// lines were dropped.
  void Log_OutputFull_DropsAndCountsLinesWithoutBlocking() {
    int pipe_ends[2];
    CPPUNIT_ASSERT(pipe(pipe_ends) == 0);
    const int saved_stdout = dup(STDOUT_FILENO);
    std::fflush(stdout);
    dup2(pipe_ends[1], STDOUT_FILENO);
    StartLogging(Level::kInfo, "test");
    const std::string filler(1000, 'x');
    for (const EventInfo& info : AllEvents()) {
      for (int i = 0; i < 50; ++i) Log(info.id, {{"filler", filler}});
    }
    std::string written = ReadAll(pipe_ends[0]);
    Log(EventId::kPeerLost, {{"peer", "p"}});
    written = ReadAll(pipe_ends[0]);
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    close(pipe_ends[0]);
    close(pipe_ends[1]);
    CPPUNIT_ASSERT(written.find("\"name\":\"peer_lost\"") != std::string::npos);
    CPPUNIT_ASSERT(written.find("\"cause\":\"output_full\"") !=
                   std::string::npos);
  }

 private:
  /// Returns the bytes that the pipe holds now.
  static std::string ReadAll(int pipe_end) {
    std::string all;
    char buffer[4096];
    pollfd input{pipe_end, POLLIN, 0};
    while (poll(&input, 1, 0) == 1 && (input.revents & POLLIN) != 0) {
      const ssize_t bytes = read(pipe_end, buffer, sizeof(buffer));
      if (bytes <= 0) break;
      all.append(buffer, static_cast<size_t>(bytes));
    }
    return all;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StandardOutputTest);

}  // namespace
}  // namespace peridotshelf::events
