#include "peridotshelf/load/load_command.h"

#include <algorithm>
#include <ostream>

namespace peridotshelf::load {
namespace {

using settings::ExitCode;
using settings::Range;

constexpr Range<int64_t> kConnections{1, 100'000};
constexpr Range<double> kRate{0.001, 1e6};
constexpr Range<int64_t> kRequests{0, 1'000'000'000};
constexpr Range<int64_t> kDurationMs{0, 24 * 3'600'000};
constexpr Range<int64_t> kSeed{0, 1'000'000'000'000};
constexpr Range<int64_t> kMaxTokens{1, 1'000'000};
constexpr Range<int64_t> kTimeoutMs{1, 24 * 3'600'000};
constexpr Range<int64_t> kClients{1, 64};
constexpr std::array<std::pair<std::string_view, LoopMode>, 2> kModes = {
    {{"closed", LoopMode::kClosed}, {"open", LoopMode::kOpen}}};

/// Direct calls are a probe beside the load: one for ten of its requests.
constexpr int64_t kRequestsPerDirectCall = 10;

template <class S>
void AddTraffic(settings::SettingsBuilder<S>& builder) {
  builder
      .Choice(&S::mode,
              {"--mode", "closed: answers pace requests; open: --rate does."},
              kModes)
      .Integer(&S::connections,
               {"--connections", "Closed loop: requests open at once."},
               kConnections, "COUNT")
      .Real(&S::rate, {"--rate", "Open loop: mean requests a second."}, kRate,
            "RATE")
      .Integer(&S::requests, {"--requests", "Requests to send; 0: no limit."},
               kRequests, "COUNT")
      .Milliseconds(&S::duration,
                    {"--duration-ms", "Time to send for; 0: no limit."},
                    kDurationMs)
      .Integer(&S::seed, {"--seed", "Seed of prompts and arrivals."}, kSeed,
               "SEED")
      .Integer(&S::clients, {"--clients", "Threads that send."}, kClients,
               "COUNT");
}

template <class S>
void AddRequests(settings::SettingsBuilder<S>& builder) {
  builder
      .Text(&S::mix, {"--mix",
                      "Prompt lengths with weights: TOKENS:WEIGHT,..., such as "
                      "1000:98,200000:2."})
      .Integer(&S::max_tokens, {"--max-tokens", "Tokens of each answer."},
               kMaxTokens, "TOKENS")
      .Name(&S::model, {"--model", "Model to ask."})
      .Text(&S::team, {"--team", "Team to ask as."})
      .Milliseconds(&S::timeout, {"--timeout-ms", "Time of each request."},
                    kTimeoutMs)
      .Switch(&S::whole, {"--whole", "Ask for one JSON, not a stream."})
      .Switch(&S::skip_check,
              {"--skip-check",
               "Do not compare answers with the stand-in engine's."})
      .Switch(&S::json, {"--json", "Report as JSON."});
}

settings::Schema<LoadSettings> MakeSchema() {
  using S = LoadSettings;
  settings::SettingsBuilder<S> builder(
      "load", "Sends prompts and reports what callers would see.");
  builder
      .Text(&S::urls,
            {"--url", "Base URLs of entries, separated by commas.", true})
      .Url(&S::direct_url,
           {"--direct-url", "Engine to call directly beside, for comparison."});
  AddTraffic(builder);
  AddRequests(builder);
  builder
      .Rule("--url", "URLs such as http://10.0.0.1:8080, separated by commas",
            [](const S& s) { return AreUrls(s.urls); })
      .Rule("--mix", "TOKENS:WEIGHT,... with TOKENS from 1 to 10000000",
            [](const S& s) { return ParseMix(s.mix).has_value(); })
      .Rule("--requests", "more than 0 unless --duration-ms is",
            [](const S& s) {
              return s.requests > 0 || s.duration > Duration::zero();
            })
      .Example(
          "peridotshelf load --url http://127.0.0.1:8080 --mode open "
          "--rate 200 --duration-ms 10000 --mix 1000:98,200000:2");
  return builder.Build();
}

LoadPlan MakePlan(const LoadSettings& settings) {
  LoadPlan plan;
  plan.mode = settings.mode;
  plan.connections = settings.connections;
  plan.rate = settings.rate;
  plan.requests = settings.requests;
  plan.duration = settings.duration;
  plan.seed = static_cast<uint64_t>(settings.seed);
  plan.max_tokens = settings.max_tokens;
  plan.check_answers = !settings.skip_check;
  return plan;
}

LoadPlan MakeDirectPlan(LoadPlan plan) {
  const auto share = [](int64_t count) {
    return count == 0 ? 0
                      : std::max<int64_t>(1, count / kRequestsPerDirectCall);
  };
  plan.connections = share(plan.connections);
  plan.requests = share(plan.requests);
  plan.rate /= kRequestsPerDirectCall;
  return plan;
}

RequestTerms MakeTerms(const LoadSettings& settings) {
  RequestTerms terms;
  terms.model = settings.model;
  terms.team = settings.team;
  terms.max_tokens = settings.max_tokens;
  terms.timeout = settings.timeout;
  terms.stream = !settings.whole;
  return terms;
}

/// Outcomes that speak against the system rather than for its limits.
bool IsSound(const LoadStats& stats) {
  const uint64_t unsound = stats.Count("wrong_answer") +
                           stats.Count(ToString(ErrorCode::kProtocol)) +
                           stats.Count(ToString(ErrorCode::kInternal)) +
                           stats.Count(ToString(ErrorCode::kConnectionLost));
  return unsound == 0 && stats.Count("ok") > 0;
}

}  // namespace

std::vector<std::string> SplitUrls(std::string_view urls) {
  std::vector<std::string> out;
  while (!urls.empty()) {
    const size_t comma = std::min(urls.find(','), urls.size());
    out.emplace_back(urls.substr(0, comma));
    urls.remove_prefix(std::min(urls.size(), comma + 1));
  }
  return out;
}

bool AreUrls(std::string_view urls) {
  const std::vector<std::string> all = SplitUrls(urls);
  return !all.empty() &&
         std::all_of(all.begin(), all.end(), &settings::IsHttpUrl);
}

const settings::Schema<LoadSettings>& LoadSchema() {
  static const settings::Schema<LoadSettings> schema = MakeSchema();
  return schema;
}

ExitCode RunLoad(const LoadSettings& settings, std::ostream& out) {
  const std::vector<MixPart> mix = ParseMix(settings.mix).value();
  const LoadPlan plan = MakePlan(settings);
  const PromptPool pool(mix, plan.seed);
  const RequestTerms terms = MakeTerms(settings);
  LoadStats stats("entry", mix);
  LoadStats direct_stats("direct", mix);
  ClientPool clients(static_cast<size_t>(settings.clients));
  ClientPool direct_clients(1);
  EntryTarget entry(clients, SplitUrls(settings.urls), terms);
  EngineTarget engine(direct_clients, settings.direct_url, terms);
  const LoadPlan direct_plan = MakeDirectPlan(plan);
  const bool has_direct = !settings.direct_url.empty();
  std::thread direct([&] {
    if (has_direct) Runner(engine, direct_plan, pool, direct_stats).Run();
  });
  Runner(entry, plan, pool, stats).Run();
  direct.join();
  const LoadStats* beside = has_direct ? &direct_stats : nullptr;
  out << (settings.json ? FormatJson(stats, beside)
                        : FormatText(stats, beside));
  return IsSound(stats) ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace peridotshelf::load
