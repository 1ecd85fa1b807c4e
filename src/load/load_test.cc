#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "peridotshelf/load/load_command.h"
#include "peridotshelf/load/sse_reader.h"
#include "peridotshelf/standin/engine_standin.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::load {
namespace {

class SseReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SseReaderTest);
  CPPUNIT_TEST(Append_BytesSplitAnywhere_GivesSameEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Append_BytesSplitAnywhere_GivesSameEvents() {
    testing::CheckProperty(
        "events do not depend on where the bytes are split", [] {
          const std::string bytes =
              "data: {\"a\":1}\n\nevent: error\r\ndata: x\r\n\r\n: note\n\n"
              "data: [DONE]\n\ndata: cut";
          std::vector<std::string> events;
          SseReader reader([&events](const SseEvent& event) {
            events.push_back(std::string(event.type) + "=" +
                             std::string(event.data));
          });
          std::string_view remaining = bytes;
          while (!remaining.empty()) {
            const auto size = *rc::gen::inRange<size_t>(1, 20);
            reader.Append(remaining.substr(0, size));
            remaining.remove_prefix(std::min(size, remaining.size()));
          }
          const std::vector<std::string> expected = {
              "message={\"a\":1}", "error=x", "message=[DONE]"};
          RC_ASSERT(events == expected);
        });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SseReaderTest);

class PromptPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptPoolTest);
  CPPUNIT_TEST(ParseMix_Malformed_IsRejected);
  CPPUNIT_TEST(Pick_SameSeed_GivesSamePrompts);
  CPPUNIT_TEST(Pick_WeightedMix_FollowsWeights);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParseMix_Malformed_IsRejected() {
    for (const char* text : {"", "x", "0:1", "10:0", "10:-1", "10:1,", "10:nan",
                             "99999999999:1"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseMix(text).has_value());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, ParseMix("10:9,20:1")->size());
  }
  void Pick_SameSeed_GivesSamePrompts() {
    const std::vector<MixPart> mix = {{8, 1}, {16, 1}};
    const PromptPool pool(mix, 7);
    const PromptPool same_seed(mix, 7);
    const PromptPool other_seed(mix, 8);
    int differences = 0;
    for (uint64_t i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(pool.Pick(i).json, same_seed.Pick(i).json);
      differences += pool.Pick(i).json != other_seed.Pick(i).json;
    }
    CPPUNIT_ASSERT(differences > 0);
  }
  void Pick_WeightedMix_FollowsWeights() {
    const std::vector<MixPart> mix = {{4, 9}, {6, 1}};
    const PromptPool pool(mix, 3);
    int long_prompts = 0;
    for (uint64_t i = 0; i < 5000; ++i)
      long_prompts += pool.Pick(i).tokens == 6;
    CPPUNIT_ASSERT(long_prompts > 400 && long_prompts < 600);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PromptPoolTest);

/// Calls `answer` synchronously for each prompt.
class FakeTarget {
 public:
  using Answer = std::function<void(const Prompt&, const ExchangeCallbacks&)>;
  explicit FakeTarget(Answer answer) : m_answer(std::move(answer)) {}
  void Send(const Prompt& prompt, const ExchangeCallbacks& callbacks) {
    ++m_sent;
    m_answer(prompt, callbacks);
  }
  int sent() const { return m_sent; }

 private:
  Answer m_answer;
  int m_sent = 0;
};

constexpr int64_t kAnswerTokens = 3;

LoadPlan MakePlan(LoopMode mode, int64_t requests) {
  LoadPlan plan;
  plan.mode = mode;
  plan.connections = 1;
  plan.rate = 100'000;
  plan.requests = requests;
  plan.max_tokens = kAnswerTokens;
  return plan;
}

class RunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunnerTest);
  CPPUNIT_TEST(Run_CorrectAnswers_AreMeasured);
  CPPUNIT_TEST(Run_AnswerToAnotherPrompt_CountsAsWrong);
  CPPUNIT_TEST(Run_Refusals_AreCountedByCode);
  CPPUNIT_TEST(Run_OpenLoop_SendsAll);
  CPPUNIT_TEST(FormatText_WithDirect_ShowsAddedLatency);
  CPPUNIT_TEST(Settings_Invalid_AreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Run_CorrectAnswers_AreMeasured() {
    const auto stats = Run(LoopMode::kClosed, &AnswerCorrectly);
    CPPUNIT_ASSERT_EQUAL(uint64_t{kRequests}, stats->Count("ok"));
    const PartStats& times = stats->part(0);
    CPPUNIT_ASSERT_EQUAL(uint64_t{kRequests},
                         times.first_token.Snapshot().total);
    CPPUNIT_ASSERT_EQUAL(uint64_t{kRequests * (kAnswerTokens - 1)},
                         times.gap.Snapshot().total);
  }
  void Run_AnswerToAnotherPrompt_CountsAsWrong() {
    const auto stats =
        Run(LoopMode::kClosed,
            [](const Prompt& prompt, const ExchangeCallbacks& callbacks) {
              Prompt other = prompt;
              ++other.hash;
              callbacks.on_text(ExpectedAnswer(other, kAnswerTokens));
              callbacks.on_done({});
            });
    CPPUNIT_ASSERT_EQUAL(uint64_t{kRequests}, stats->Count("wrong_answer"));
  }
  void Run_Refusals_AreCountedByCode() {
    const auto stats =
        Run(LoopMode::kClosed,
            [](const Prompt&, const ExchangeCallbacks& callbacks) {
              callbacks.on_done(Fail(ErrorCode::kTeamLimit));
            });
    CPPUNIT_ASSERT_EQUAL(uint64_t{kRequests}, stats->Count("team_limit"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, stats->Count("ok"));
  }
  void Run_OpenLoop_SendsAll() {
    const auto stats = Run(LoopMode::kOpen, &AnswerCorrectly);
    CPPUNIT_ASSERT_EQUAL(uint64_t{kRequests}, stats->Count("ok"));
  }
  void FormatText_WithDirect_ShowsAddedLatency() {
    const std::vector<MixPart> mix = {{8, 1}};
    LoadStats via_entry("entry", mix);
    LoadStats direct("direct", mix);
    via_entry.part(0).first_token.Observe(0.003);
    direct.part(0).first_token.Observe(0.001);
    const std::string text = FormatText(via_entry, &direct);
    const size_t added = text.find("added");
    CPPUNIT_ASSERT(added != std::string::npos);
    const double median = std::stod(text.substr(added + sizeof("added")));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, median, 0.05);
    const auto parsed = nlohmann::json::parse(FormatJson(via_entry, &direct));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, parsed.at("runs").size());
  }
  void Settings_Invalid_AreRejected() {
    const auto no_environment =
        [](std::string_view) -> std::optional<std::string> {
      return std::nullopt;
    };
    const std::vector<std::vector<std::string>> invalid = {
        {"--url", "http://a,nonsense"},
        {"--url", "http://a", "--mix", "1000:x"},
        {"--url", "http://a", "--requests", "0"}};
    for (const auto& args : invalid) {
      const auto parsed = LoadSchema().Parse(args, no_environment);
      CPPUNIT_ASSERT(!parsed.has_value());
      CPPUNIT_ASSERT(parsed.error().front().kind ==
                     settings::SettingErrorKind::kConflict);
    }
  }

 private:
  static constexpr int64_t kRequests = 20;

  static void AnswerCorrectly(const Prompt& prompt,
                              const ExchangeCallbacks& callbacks) {
    for (int64_t i = 0; i < kAnswerTokens; ++i) {
      callbacks.on_text(standin::MakeAnswerChunk(prompt.hash, i));
    }
    callbacks.on_done({});
  }
  static std::unique_ptr<LoadStats> Run(LoopMode mode,
                                        FakeTarget::Answer answer) {
    const std::vector<MixPart> mix = {{8, 1}};
    const LoadPlan plan = MakePlan(mode, kRequests);
    const PromptPool pool(mix, 1);
    auto stats = std::make_unique<LoadStats>("entry", mix);
    FakeTarget target(std::move(answer));
    Runner(target, plan, pool, *stats).Run();
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kRequests), target.sent());
    return stats;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RunnerTest);

}  // namespace
}  // namespace peridotshelf::load
