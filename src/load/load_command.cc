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

/// Direct calls are a low-rate probe: one for every ten requests to entries.
constexpr int64_t kRequestsPerDirectCall = 10;

template <class S>
void AddTrafficSettings(settings::SettingsBuilder<S>& builder) {
  builder
      .Choice(&S::mode,
              {"--mode",
               "closed: an answer triggers the next request; open: "
               "requests follow --rate."},
              kModes)
      .Integer(&S::connections,
               {"--connections", "Closed loop: concurrent requests."},
               kConnections, "COUNT")
      .Real(&S::rate, {"--rate", "Open loop: mean requests per second."}, kRate,
            "RATE")
      .Integer(&S::requests,
               {"--requests", "Requests to send; 0 for no limit."}, kRequests,
               "COUNT")
      .Milliseconds(&S::duration,
                    {"--duration-ms", "Duration of sending; 0 for no limit."},
                    kDurationMs)
      .Integer(&S::seed, {"--seed", "Seed of prompts and arrival times."},
               kSeed, "SEED")
      .Integer(&S::clients, {"--clients", "HTTP client threads."}, kClients,
               "COUNT");
}

template <class S>
void AddRequestSettings(settings::SettingsBuilder<S>& builder) {
  builder
      .Text(&S::mix, {"--mix",
                      "Prompt lengths with weights: TOKENS:WEIGHT,..., such as "
                      "1000:98,200000:2."})
      .Integer(&S::max_tokens,
               {"--max-tokens", "Tokens to generate per answer."}, kMaxTokens,
               "TOKENS")
      .Name(&S::model, {"--model", "Model to request."})
      .Text(&S::team, {"--team", "Team that requests belong to."})
      .Milliseconds(&S::timeout, {"--timeout-ms", "Timeout of each request."},
                    kTimeoutMs)
      .Switch(&S::non_streaming,
              {"--whole", "Request one JSON response instead of a stream."})
      .Switch(&S::skip_check,
              {"--skip-check",
               "Do not compare answers with the simulated engine's."})
      .Switch(&S::json, {"--json", "Write the report as JSON."});
}

settings::Schema<LoadSettings> MakeSchema() {
  using S = LoadSettings;
  settings::SettingsBuilder<S> builder(
      "load",
      "Generates load and reports latency and outcomes as callers see them.");
  builder
      .Text(&S::urls, {"--url", "Comma-separated base URLs of entries.", true})
      .Url(&S::direct_url,
           {"--direct-url",
            "Base URL of an engine to call directly for comparison."});
  AddTrafficSettings(builder);
  AddRequestSettings(builder);
  builder
      .Rule("--url", "URLs such as http://10.0.0.1:8080, separated by commas",
            [](const S& s) { return IsUrlList(s.urls); })
      .Rule("--mix", "TOKENS:WEIGHT,... with TOKENS from 1 to 10000000",
            [](const S& s) { return ParseMix(s.mix).has_value(); })
      .Rule("--requests", "more than 0 unless --duration-ms is more than 0",
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
  const auto divide = [](int64_t count) {
    return count == 0 ? 0
                      : std::max<int64_t>(1, count / kRequestsPerDirectCall);
  };
  plan.connections = divide(plan.connections);
  plan.requests = divide(plan.requests);
  plan.rate /= kRequestsPerDirectCall;
  return plan;
}

LoadRequestOptions MakeRequestOptions(const LoadSettings& settings) {
  LoadRequestOptions request_options;
  request_options.model = settings.model;
  request_options.team = settings.team;
  request_options.max_tokens = settings.max_tokens;
  request_options.timeout = settings.timeout;
  request_options.stream = !settings.non_streaming;
  return request_options;
}

/// Returns whether any request succeeded and none ended with an outcome that
/// indicates a fault of the system, unlike refusals and timeouts.
bool IsSuccessful(const LoadStats& stats) {
  const uint64_t faults = stats.Count("wrong_answer") +
                          stats.Count(ToString(ErrorCode::kProtocol)) +
                          stats.Count(ToString(ErrorCode::kInternal)) +
                          stats.Count(ToString(ErrorCode::kConnectionLost));
  return faults == 0 && stats.Count("ok") > 0;
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

bool IsUrlList(std::string_view urls) {
  const std::vector<std::string> parts = SplitUrls(urls);
  return !parts.empty() &&
         std::all_of(parts.begin(), parts.end(), &settings::IsHttpUrl);
}

const settings::Schema<LoadSettings>& LoadSchema() {
  static const settings::Schema<LoadSettings> schema = MakeSchema();
  return schema;
}

ExitCode RunLoad(const LoadSettings& settings, std::ostream& out) {
  const std::vector<MixPart> mix = ParseMix(settings.mix).value();
  const LoadPlan plan = MakePlan(settings);
  const PromptPool pool(mix, plan.seed);
  const LoadRequestOptions request_options = MakeRequestOptions(settings);
  LoadStats stats("entry", mix);
  LoadStats direct_stats("direct", mix);
  ClientPool clients(static_cast<size_t>(settings.clients));
  ClientPool direct_clients(1);
  EntryTarget entry(clients, SplitUrls(settings.urls), request_options);
  EngineTarget engine(direct_clients, settings.direct_url, request_options);
  const LoadPlan direct_plan = MakeDirectPlan(plan);
  const bool has_direct = !settings.direct_url.empty();
  std::thread direct([&] {
    if (has_direct) Runner(engine, direct_plan, pool, direct_stats).Run();
  });
  Runner(entry, plan, pool, stats).Run();
  direct.join();
  const LoadStats* direct_report = has_direct ? &direct_stats : nullptr;
  out << (settings.json ? FormatJson(stats, direct_report)
                        : FormatText(stats, direct_report));
  return IsSuccessful(stats) ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace peridotshelf::load
