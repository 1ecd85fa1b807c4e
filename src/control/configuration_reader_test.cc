#include "peridotshelf/control/configuration_reader.h"

#include <algorithm>

#include "control/test_records.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

/// Returns `text` with the first occurrence of `from` replaced by `to`.
std::string ReplaceFirst(std::string text, const std::string& from,
                         const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

void AssertError(const std::string& document, const std::string& path) {
  const ConfigurationResult result = ReadConfiguration(document);
  CPPUNIT_ASSERT_MESSAGE(path, !result.has_value());
  const bool found = std::any_of(
      result.error().begin(), result.error().end(),
      [&](const ConfigurationError& error) { return error.path == path; });
  CPPUNIT_ASSERT_MESSAGE(
      path + " is not among the errors; the first is " + result.error()[0].path,
      found);
}

class ConfigurationReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationReaderTest);
  CPPUNIT_TEST(Document_Valid_IsRead);
  CPPUNIT_TEST(Document_OneError_ReportsItsPath);
  CPPUNIT_TEST(Document_SeveralErrors_ReportsAll);
  CPPUNIT_TEST(Document_NestedTooDeeply_IsRejected);
  CPPUNIT_TEST(Document_Mutated_IsReadOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Document_Valid_IsRead() {
    const auto configuration = ReadConfiguration(MakeDocument()).value();
    CPPUNIT_ASSERT_EQUAL(int32_t{4}, configuration->engines.at(0).slots);
    CPPUNIT_ASSERT_EQUAL(2.0, configuration->services[0].teams.at(0).share);
    CPPUNIT_ASSERT_EQUAL(0.5, configuration->presets.at(1).short_reserve);
  }
  void Document_OneError_ReportsItsPath() {
    const std::string valid = MakeDocument();
    AssertError("[1", "");
    AssertError("[]", "");
    AssertError(ReplaceFirst(valid, "\"slots\":4", "\"slots\":0"),
                "/engines/0/slots");
    AssertError(ReplaceFirst(valid, "\"slots\":4", "\"slots\":\"4\""),
                "/engines/0/slots");
    AssertError(ReplaceFirst(valid, "\"slots\":4", "\"slots\":4,\"slot\":1"),
                "/engines/0/slot");
    AssertError(ReplaceFirst(valid, ",\"slots\":4", ""), "/engines/0/slots");
    AssertError(
        ReplaceFirst(valid, "\"engines\":[\"e1\"]", "\"engines\":[\"x\"]"),
        "/services/0/engines/0");
    AssertError(
        ReplaceFirst(valid, "\"services\":[{\"name\":\"s\",\"model\":\"m\"",
                     "\"services\":[{\"name\":\"s\",\"model\":\"other\""),
        "/services/0/engines/0");
    AssertError(
        ReplaceFirst(valid, "\"name\":\"peak\"", "\"name\":\"ordinary\""),
        "/presets/1/name");
    AssertError(ReplaceFirst(valid, "\"share\":2", "\"share\":0"),
                "/services/0/teams/0/share");
    AssertError(ReplaceFirst(valid, "\"initial_preset\":\"ordinary\"",
                             "\"initial_preset\":\"none\""),
                "/initial_preset");
    AssertError(ReplaceFirst(valid, "http://", "ftp://"), "/engines/0/url");
    AssertError(ReplaceFirst(valid, "\"share\":2",
                             "\"share\":2,\"max_running_tokens\":1e3"),
                "/services/0/teams/0/max_running_tokens");
  }
  void Document_SeveralErrors_ReportsAll() {
    std::string document =
        ReplaceFirst(MakeDocument(), "\"slots\":4", "\"slots\":0");
    document = ReplaceFirst(document, "http://", "ftp://");
    document = ReplaceFirst(document, "\"share\":2", "\"share\":true");
    CPPUNIT_ASSERT_EQUAL(size_t{3}, ReadConfiguration(document).error().size());
  }
  void Document_NestedTooDeeply_IsRejected() {
    const std::string deep(1 << 20, '[');
    CPPUNIT_ASSERT(!ReadConfiguration(deep).has_value());
    CPPUNIT_ASSERT(NestsAtMost("[\"[[\\\"[\"]", 1));
    CPPUNIT_ASSERT(!NestsAtMost("[{}]", 1));
  }
  void Document_Mutated_IsReadOrRejected() {
    testing::CheckProperty("mutated document", [](uint32_t at, char byte) {
      std::string document = MakeDocument();
      document[at % document.size()] = byte;
      const ConfigurationResult result = ReadConfiguration(document);
      RC_ASSERT(result.has_value() || !result.error().empty());
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationReaderTest);

}  // namespace
}  // namespace peridotshelf::control
