// The subcommand `status`.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "peridotshelf/command.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/load/load_command.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::program {
namespace {

using nlohmann::json;

constexpr settings::Range<int64_t> kTimeoutMs{10, 60'000};
constexpr int kHttpOk = 200;

struct StatusSettings {
  std::string urls;
  Duration timeout = std::chrono::seconds(2);
  bool json = false;
};

const settings::Schema<StatusSettings>& StatusSchema() {
  using S = StatusSettings;
  static const settings::Schema<S> schema =
      settings::SettingsBuilder<S>("status",
                                   "Shows the state of entries and sides.")
          .Text(&S::urls,
                {"--url", "Base URLs of daemons, separated by commas.", true})
          .Milliseconds(&S::timeout,
                        {"--time-limit-ms", "Timeout for each daemon."},
                        kTimeoutMs)
          .Switch(&S::json, {"--json", "Write JSON lines instead of a table."})
          .Rule("--url", "URLs such as http://10.0.0.1:8080, with commas",
                [](const S& s) { return load::IsUrlList(s.urls); })
          .Example(
              "peridotshelf status --url http://10.0.0.1:8080,"
              "http://10.0.1.7:7480")
          .Build();
  return schema;
}

/// Returns the status that one daemon reports, or {"url", "error"}.
json FetchStatus(http::Client& client, const std::string& url,
                 Duration timeout) {
  http::ClientRequest request;
  request.url = url + "/status";
  request.timeout = timeout;
  const auto response = client.FetchAndWait(std::move(request));
  if (!response) return {{"url", url}, {"error", response.error().detail}};
  json status = json::parse(response->body, nullptr,
                            /*allow_exceptions=*/false);
  if (response->status != kHttpOk || !status.is_object()) {
    return {{"url", url}, {"error", "the response is not a status"}};
  }
  status["url"] = url;
  return status;
}

void PrintRow(const json& status) {
  constexpr int kHostWidth = 14;
  constexpr int kNumberWidth = 9;
  if (status.contains("error")) {
    std::cout << status.value("url", "")
              << "  no answer: " << status.value("error", "") << "\n";
    return;
  }
  std::cout << std::left << std::setw(kHostWidth) << status.value("host", "")
            << std::setw(kNumberWidth) << status.value("role", "")
            << std::setw(kHostWidth) << status.value("failure_domain", "")
            << std::setw(kNumberWidth) << status.value("version", int64_t{0})
            << std::setw(kHostWidth) << status.value("preset", "")
            << std::setw(kNumberWidth) << status.value("running", int64_t{0})
            << (status.value("leaving", false) ? "leaving" : "serving") << "\n";
  if (!status.contains("engines")) return;
  for (const json& engine : status["engines"]) {
    std::cout << "  " << engine.value("engine", "") << ": "
              << engine.value("holds", 0.0) << " allocations of "
              << engine.value("held_tokens", 0.0) << " tokens, "
              << engine.value("queued", 0.0) << " queued\n";
  }
}

}  // namespace

ExitCode RunStatus(Arguments args) {
  const auto parsed = StatusSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  http::Client client;
  bool all_answered = true;
  if (!parsed->json) {
    std::cout << "host          role     domain        version  preset        "
                 "running  state\n";
  }
  for (const std::string& url : load::SplitUrls(parsed->urls)) {
    const json status = FetchStatus(client, url, parsed->timeout);
    all_answered = all_answered && !status.contains("error");
    if (parsed->json) {
      std::cout << status.dump() << "\n";
    } else {
      PrintRow(status);
    }
  }
  return all_answered ? ExitCode::kSuccess : ExitCode::kUnavailable;
}

}  // namespace peridotshelf::program
