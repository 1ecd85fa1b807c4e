/// The `load` subcommand: drives traffic and reports what callers would see.
#pragma once

#include <iosfwd>
#include <string>

#include "peridotshelf/load/runner.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::load {

/// What `peridotshelf load` is told.
struct LoadSettings {
  /// Base URLs of entries, separated by commas.
  std::string urls;
  /// Base URL of an engine that is called directly for comparison.
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
  bool whole = false;
  bool skip_check = false;
  bool json = false;
};

/// The parts of a list separated by commas.
std::vector<std::string> SplitUrls(std::string_view urls);
/// Whether `urls` is a list of one or more URLs.
bool AreUrls(std::string_view urls);

/// How `load` is configured.
const settings::Schema<LoadSettings>& LoadSchema();

/// Runs the load and writes the report; kFailure unless every answer was
/// whole and the caller's own, or a typed refusal.
settings::ExitCode RunLoad(const LoadSettings& settings, std::ostream& out);

}  // namespace peridotshelf::load
