#include <algorithm>
#include <map>
#include <sstream>

#include "peridotshelf/settings/daemon_settings.h"
#include "peridotshelf/settings/standin_settings.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::settings {
namespace {

using Arguments = std::vector<std::string>;
using Variables = std::map<std::string, std::string, std::less<>>;

Environment FixedEnvironment(Variables variables) {
  return [variables = std::move(variables)](
             std::string_view name) -> std::optional<std::string> {
    auto it = variables.find(name);
    if (it == variables.end()) return std::nullopt;
    return it->second;
  };
}

const Arguments kValid = {"--host",      "e1",           "--failure-domain",
                          "north",       "--log-url",    "http://10.0.0.1:9000",
                          "--hosts-url", "http://h:9001"};

Arguments AddToValid(const Arguments& more) {
  Arguments all = kValid;
  all.insert(all.end(), more.begin(), more.end());
  return all;
}

std::vector<SettingError> ParseErrors(const Arguments& args,
                                      Variables variables = {}) {
  auto parsed =
      EntrySchema().Parse(args, FixedEnvironment(std::move(variables)));
  if (parsed) return {};
  return parsed.error();
}

SettingError ParseSingleError(const Arguments& args, Variables variables = {}) {
  const auto errors = ParseErrors(args, std::move(variables));
  CPPUNIT_ASSERT_EQUAL(size_t{1}, errors.size());
  return errors.front();
}

class ParseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParseTest);
  CPPUNIT_TEST(Flags_AllValid_AreTyped);
  CPPUNIT_TEST(Parse_FlagAndVariable_FlagTakesPrecedence);
  CPPUNIT_TEST(Switch_InEnvironment_IsRead);
  CPPUNIT_TEST(PrintSettings_EachSource_IsNamed);
  CPPUNIT_TEST(Help_OfEachCommand_NamesEverySetting);
  CPPUNIT_TEST(Defaults_OfEachCommand_AreAllowed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Flags_AllValid_AreTyped() {
    const auto parsed =
        EntrySchema().Parse(AddToValid({"--http-port=81", "--drain-delay-ms",
                                        "250", "--log-level", "debug"}),
                            FixedEnvironment({}));
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), parsed->settings.host);
    CPPUNIT_ASSERT_EQUAL(uint16_t{81}, parsed->settings.http_port);
    CPPUNIT_ASSERT(parsed->settings.drain_delay ==
                   std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(parsed->settings.log_level == events::Level::kDebug);
  }
  void Parse_FlagAndVariable_FlagTakesPrecedence() {
    const auto parsed = EntrySchema().Parse(
        kValid, FixedEnvironment({{"PERIDOTSHELF_HOST", "other"},
                                  {"PERIDOTSHELF_THREADS", "7"}}));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), parsed->settings.host);
    CPPUNIT_ASSERT_EQUAL(7, parsed->settings.threads);
  }
  void Switch_InEnvironment_IsRead() {
    const Schema<EngineStandinSettings>& schema = EngineStandinSchema();
    const Variables on = {{"PERIDOTSHELF_CHECKS_FENCING", "true"}};
    const Variables wrong = {{"PERIDOTSHELF_CHECKS_FENCING", "maybe"}};
    CPPUNIT_ASSERT(
        schema.Parse({}, FixedEnvironment(on))->settings.checks_fencing);
    CPPUNIT_ASSERT(!schema.Parse({}, FixedEnvironment(wrong)).has_value());
    const Arguments given = {"--checks-fencing"};
    CPPUNIT_ASSERT(
        schema.Parse(given, FixedEnvironment({}))->settings.checks_fencing);
  }
  void PrintSettings_EachSource_IsNamed() {
    std::ostringstream out;
    std::ostringstream err;
    const auto settings = EntrySchema().ParseOrExplain(
        AddToValid({"--print-settings"}),
        FixedEnvironment({{"PERIDOTSHELF_THREADS", "3"}}), out, err);
    CPPUNIT_ASSERT(settings.error() == ExitCode::kSuccess);
    const std::string text = out.str();
    for (const char* expected :
         {"--host", "flag        PERIDOTSHELF_HOST",
          "environment PERIDOTSHELF_THREADS",
          "default     PERIDOTSHELF_HTTP_PORT", "8080"}) {
      CPPUNIT_ASSERT_MESSAGE(expected,
                             text.find(expected) != std::string::npos);
    }
  }
  void Help_OfEachCommand_NamesEverySetting() {
    CheckHelp(EntrySchema());
    CheckHelp(SideSchema());
    CheckHelp(EngineStandinSchema());
    CheckHelp(ServiceStandinSchema());
    CheckHelp(LogStandinSchema());
    CheckHelp(HostsStandinSchema());
  }
  void Defaults_OfEachCommand_AreAllowed() {
    CheckDefaults(EntrySchema());
    CheckDefaults(SideSchema());
    CheckDefaults(EngineStandinSchema());
    CheckDefaults(ServiceStandinSchema());
    CheckDefaults(LogStandinSchema());
    CheckDefaults(HostsStandinSchema());
  }

 private:
  template <class S>
  void CheckHelp(const Schema<S>& schema) {
    std::ostringstream out;
    std::ostringstream err;
    const Arguments args = {"--help"};
    const auto settings =
        schema.ParseOrExplain(args, FixedEnvironment({}), out, err);
    CPPUNIT_ASSERT(settings.error() == ExitCode::kSuccess);
    for (const SettingInfo& info : schema.settings()) {
      CPPUNIT_ASSERT(out.str().find(info.flag) != std::string::npos);
      CPPUNIT_ASSERT(out.str().find(info.variable) != std::string::npos);
    }
  }
  // Passes every default as a flag, so that the setting's check applies to it.
  template <class S>
  void CheckDefaults(const Schema<S>& schema) {
    Arguments args;
    for (const SettingInfo& info : schema.settings()) {
      if (info.form != Form::kOption) continue;
      args.push_back(info.flag);
      const bool is_url = info.value_name == "URL";
      const std::string required = is_url ? "http://h:1" : "name";
      args.push_back(info.required ? required : info.default_text);
    }
    const auto parsed = schema.Parse(args, FixedEnvironment({}));
    if (!parsed) CPPUNIT_FAIL(parsed.error().front().ToString());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ParseTest);

class SettingErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingErrorTest);
  CPPUNIT_TEST(Port_OutOfRange_NamesFlagValueAndRange);
  CPPUNIT_TEST(Values_Malformed_AreEachRefused);
  CPPUNIT_TEST(Argument_Unknown_IsNamed);
  CPPUNIT_TEST(Required_Absent_NamesFlagAndVariable);
  CPPUNIT_TEST(Flag_WithoutValue_IsRefused);
  CPPUNIT_TEST(Flag_Twice_IsRefused);
  CPPUNIT_TEST(Variable_NotAllowed_NamesVariable);
  CPPUNIT_TEST(Timeouts_InConflict_AreRefused);
  CPPUNIT_TEST(Positional_GivenOnce_IsRead);
  CPPUNIT_TEST(Settings_WithManyErrors_AllAreReported);
  CPPUNIT_TEST(Integer_AnyText_PrintsBackOrIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Port_OutOfRange_NamesFlagValueAndRange() {
    const SettingError error =
        ParseSingleError(AddToValid({"--http-port", "65536"}));
    CPPUNIT_ASSERT(error.kind == SettingErrorKind::kNotAllowed);
    CPPUNIT_ASSERT_EQUAL(
        std::string("--http-port is \"65536\"; allowed: an integer from 0 to "
                    "65535"),
        error.ToString());
  }
  void Values_Malformed_AreEachRefused() {
    const std::vector<Arguments> malformed = {
        {"--http-port", "-1"},
        {"--http-port", "8080x"},
        {"--threads", "99999999999999999999"},
        {"--address", "localhost"},
        {"--drain-delay-ms", "1.5"},
        {"--log-level", "loud"},
        {"--max-body-bytes", "10"}};
    for (const Arguments& args : malformed) {
      const SettingError error = ParseSingleError(AddToValid(args));
      CPPUNIT_ASSERT(error.kind == SettingErrorKind::kNotAllowed);
      CPPUNIT_ASSERT_EQUAL(args[0], error.flag);
      CPPUNIT_ASSERT_EQUAL(args[1], error.value.text);
    }
    for (const char* url : {"https://h", "http://", "http://h:0", "http://h?x",
                            "h:80", "http://h:99999"}) {
      CPPUNIT_ASSERT(!IsHttpUrl(url));
    }
  }
  void Argument_Unknown_IsNamed() {
    const SettingError error = ParseSingleError(AddToValid({"--colour"}));
    CPPUNIT_ASSERT(error.kind == SettingErrorKind::kUnknownArgument);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown argument \"--colour\""),
                         error.ToString());
  }
  void Required_Absent_NamesFlagAndVariable() {
    const auto errors = ParseErrors({});
    CPPUNIT_ASSERT_EQUAL(size_t{4}, errors.size());
    for (const SettingError& error : errors) {
      CPPUNIT_ASSERT(error.kind == SettingErrorKind::kMissing);
      CPPUNIT_ASSERT(error.ToString().find(error.variable) !=
                     std::string::npos);
    }
  }
  void Flag_WithoutValue_IsRefused() {
    const SettingError error =
        ParseSingleError(AddToValid({"--threads", "--http-port", "1"}));
    CPPUNIT_ASSERT(error.kind == SettingErrorKind::kMissingValue);
    CPPUNIT_ASSERT_EQUAL(std::string("--threads"), error.flag);
  }
  void Flag_Twice_IsRefused() {
    const SettingError error =
        ParseSingleError(AddToValid({"--threads", "1", "--threads", "2"}));
    CPPUNIT_ASSERT(error.kind == SettingErrorKind::kRepeated);
  }
  void Variable_NotAllowed_NamesVariable() {
    const SettingError error =
        ParseSingleError(kValid, {{"PERIDOTSHELF_THREADS", "none"}});
    CPPUNIT_ASSERT(error.value.source == Source::kEnvironment);
    CPPUNIT_ASSERT_EQUAL(
        std::string("PERIDOTSHELF_THREADS (--threads) is \"none\"; allowed: an "
                    "integer from 1 to 256"),
        error.ToString());
  }
  void Timeouts_InConflict_AreRefused() {
    const SettingError error = ParseSingleError(AddToValid(
        {"--default-timeout-ms", "5000", "--max-timeout-ms", "4000"}));
    CPPUNIT_ASSERT(error.kind == SettingErrorKind::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("--default-timeout-ms"), error.flag);
  }
  void Positional_GivenOnce_IsRead() {
    struct Named {
      std::string file;
      bool fast = false;
    };
    const auto schema = SettingsBuilder<Named>("read", "Reads.")
                            .Positional(&Named::file, "FILE", "A file.")
                            .Switch(&Named::fast, {"--fast", "Hurry."})
                            .Build();
    const Arguments one = {"--fast", "a.json"};
    const Arguments two = {"a.json", "b.json"};
    CPPUNIT_ASSERT_EQUAL(
        std::string("a.json"),
        schema.Parse(one, FixedEnvironment({}))->settings.file);
    const auto parsed = schema.Parse(two, FixedEnvironment({}));
    CPPUNIT_ASSERT(parsed.error().front().kind ==
                   SettingErrorKind::kUnknownArgument);
    const auto absent = schema.Parse({}, FixedEnvironment({}));
    CPPUNIT_ASSERT(absent.error().front().kind == SettingErrorKind::kMissing);
  }
  void Settings_WithManyErrors_AllAreReported() {
    std::ostringstream out;
    std::ostringstream err;
    const Arguments args = {"--threads", "0",      "--bogus", "--address",
                            "x",         "--host", "e 1"};
    const auto settings =
        EntrySchema().ParseOrExplain(args, FixedEnvironment({}), out, err);
    CPPUNIT_ASSERT(settings.error() == ExitCode::kBadSettings);
    for (const char* flag : {"--threads", "--bogus", "--address", "--host",
                             "--failure-domain", "--log-url", "--hosts-url"}) {
      CPPUNIT_ASSERT(err.str().find(flag) != std::string::npos);
    }
  }
  void Integer_AnyText_PrintsBackOrIsRefused() {
    testing::CheckProperty("an accepted integer prints back to its text", [] {
      const auto text = *rc::gen::arbitrary<std::string>();
      const auto number = *rc::gen::inRange<int>(-70000, 140000);
      CPPUNIT_ASSERT(ParseInteger(std::to_string(number)) == number);
      const auto value = ParseInteger(text);
      if (value) CPPUNIT_ASSERT_EQUAL(text, std::to_string(*value));
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SettingErrorTest);

}  // namespace
}  // namespace peridotshelf::settings
