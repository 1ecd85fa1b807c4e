// The subcommand `demo`.
#include <cstdio>
#include <future>
#include <iostream>

#include "peridotshelf/command.h"
#include "peridotshelf/demo_fleet.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/load/prompt_pool.h"
#include "peridotshelf/load/targets.h"
#include "peridotshelf/settings/schema.h"
#include "peridotshelf/stop_signal.h"

namespace peridotshelf::program {
namespace {

constexpr size_t kThreads = 4;
constexpr settings::Range<int64_t> kPorts{1024, 65535 - DemoPorts::kCount};
constexpr int64_t kShortTokens = 1'000;
constexpr int64_t kLongTokens = 200'000;
constexpr int64_t kAnswerTokens = 16;
constexpr uint64_t kSeed = 1;

struct DemoSettings {
  uint16_t port = 8080;
  bool once = false;
};

const settings::Schema<DemoSettings>& DemoSchema() {
  using S = DemoSettings;
  static const settings::Schema<S> schema =
      settings::SettingsBuilder<S>(
          "demo", "Runs a small complete fleet in this process on loopback.")
          .Integer(
              &S::port,
              {"--port",
               "Port of the entry; the other servers use the ports after it."},
              kPorts, "PORT")
          .Switch(&S::once,
                  {"--once", "Send one short and one long prompt, then exit."})
          .Example("peridotshelf demo --port 8080")
          .Build();
  return schema;
}

void PrintUrls(const std::string& url) {
  std::cout << "Completions  " << url << "/v1/completions\n"
            << "Models       " << url << "/v1/models\n"
            << "Service      " << url << "/services/" << kDemoService << "/\n"
            << "Readiness    " << url << "/readyz\n"
            << "Metrics      " << url << "/metrics\n\nTry:\n"
            << "  curl -N " << url << "/v1/completions -d '{\"model\":\""
            << kDemoModel
            << "\",\"prompt\":\"How far may the beam bend?\","
               "\"max_tokens\":16,\"stream\":true}'\n\n"
            << std::flush;
}

/// Answer to one prompt as its caller sees it.
struct DemoAnswer {
  std::string text;
  std::optional<Duration> first_token;
};

/// Sends one prompt and prints its time to first token; returns whether the
/// answer is complete and belongs to this prompt.
bool SendPrompt(load::EntryTarget& target, const char* name, int64_t tokens) {
  const load::MixPart part{tokens, 1};
  const load::PromptPool pool({&part, 1}, kSeed);
  const load::Prompt& prompt = pool.Pick(0);
  DemoAnswer answer;
  std::promise<Result<void>> ended;
  const TimePoint begin = SteadyClock().Now();
  target.Send(prompt, {[&answer, begin](std::string_view text) {
                         answer.text += text;
                         if (answer.first_token) return;
                         answer.first_token = SteadyClock().Now() - begin;
                       },
                       [&ended](const Result<void>& outcome) {
                         ended.set_value(outcome);
                       }});
  const Result<void> outcome = ended.get_future().get();
  if (!outcome) {
    std::cout << name << " prompt failed: " << outcome.error().detail << "\n";
    return false;
  }
  const bool is_correct =
      answer.text == load::ExpectedAnswer(prompt, kAnswerTokens);
  std::printf("%-5s prompt, %7lld tokens: first token after %7.1f ms, %s\n",
              name, static_cast<long long>(tokens),  // NOLINT
              std::chrono::duration<double, std::milli>(
                  answer.first_token.value_or(Duration()))
                  .count(),
              is_correct ? "answer whole" : "WRONG ANSWER");
  std::fflush(stdout);
  return is_correct;
}

ExitCode SendBothPrompts(const std::string& url) {
  load::ClientPool clients(1);
  load::LoadRequestOptions request_options;
  request_options.model = kDemoModel;
  request_options.max_tokens = kAnswerTokens;
  load::EntryTarget target(clients, {url}, request_options);
  const bool short_done = SendPrompt(target, "short", kShortTokens);
  const bool long_done = SendPrompt(target, "long", kLongTokens);
  return short_done && long_done ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace

ExitCode RunDemo(Arguments args) {
  const auto parsed = DemoSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const StopSignal stop;
  events::StartLogging(events::Level::kWarning, "demo");
  io::IoThreads threads(kThreads);
  const auto fleet = DemoFleet::Create(threads, DemoPorts(parsed->port));
  if (!fleet) {
    std::cerr << "peridotshelf demo: " << fleet.error().detail << "\n";
    return ExitCode::kCannotListen;
  }
  const Result<void> serving = (*fleet)->WaitUntilServing();
  if (!serving) {
    std::cerr << "peridotshelf demo: " << serving.error().detail << "\n";
    return ExitCode::kUnavailable;
  }
  const std::string url = (*fleet)->entry_url();
  PrintUrls(url);
  if (parsed->once) return SendBothPrompts(url);
  std::cout << "Running until interrupted.\n" << std::flush;
  stop.Wait();
  return ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
