/// The two simulated deployments and their traffic.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/engine_model.h"
#include "peridotshelf/control/configuration.h"

namespace peridotshelf::bench {

/// Engines of one deployment, which all serve the same model.
struct Deployment {
  std::string name;
  int engines = 0;
  int domains = 3;
  /// One-way network delay between failure domains, in seconds.
  double domain_delay = 0;
  int64_t memory_tokens = 440'000;
  int32_t slots = 48;
  control::Preset preset;
};

/// Hallstrom favors a low slowdown of short requests, Cierre Común a low time
/// to first token of long ones.
Deployment Hallstrom();
Deployment Cierre();

/// Size classes to include.
struct TrafficMix {
  bool include_short = true;
  bool include_others = true;
};

/// Returns Poisson arrivals of `rate` requests per second over `seconds`,
/// reduced to the size classes in `mix`. The same seed gives the same requests.
std::vector<SimRequest> MakeWorkload(double rate, double seconds, uint64_t seed,
                                     const TrafficMix& mix,
                                     int64_t memory_tokens);

}  // namespace peridotshelf::bench
