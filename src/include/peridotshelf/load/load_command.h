/// The `load` subcommand: generates load and reports the latency and the
/// outcomes that callers see.
#pragma once

#include <iosfwd>
#include <string>

#include "peridotshelf/load/runner.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::load {

/// Settings of `peridotshelf load`.
struct LoadSettings {
  /// Comma-separated base URLs of entries.
  std::string urls;
  /// Base URL of an engine to call directly for comparison.
  std::string direct_url;
  LoopMode mode = LoopMode::kClosed;
  int64_t connections = 8;
  double rate = 100;
  int64_t requests = 1000;
  Duration duration{};
  int64_t seed = 1;
  std::string mix = "1000:1";
  int64_t max_tokens = 16;
  std::string model = "demo";
  std::string team;
  Duration timeout = std::chrono::seconds(60);
  int32_t clients = 2;
  bool non_streaming = false;
  bool skip_check = false;
  bool json = false;
};

/// Splits a comma-separated list.
std::vector<std::string> SplitUrls(std::string_view urls);
/// Returns whether `urls` is a comma-separated list of at least one HTTP URL.
bool IsUrlList(std::string_view urls);

/// Returns the flags of `load`.
const settings::Schema<LoadSettings>& LoadSchema();

/// Runs the load and writes the report to `out`. Returns kFailure if no request
/// to the entries succeeded or if any of them ended with a wrong or truncated
/// answer, a lost connection, a protocol error or an internal error. Other
/// error codes, such as refusals, are allowed.
settings::ExitCode RunLoad(const LoadSettings& settings, std::ostream& out);

}  // namespace peridotshelf::load
