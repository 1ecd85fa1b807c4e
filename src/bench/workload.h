/// The two deployments' shapes and their traffic.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/engine_model.h"
#include "peridotshelf/control/configuration.h"

namespace peridotshelf::bench {

/// One deployment's model fleet.
struct Deployment {
  std::string name;
  int engines = 0;
  int domains = 3;
  /// Seconds one way between failure domains.
  double domain_delay = 0;
  int64_t memory_tokens = 440'000;
  int32_t slots = 48;
  control::Preset preset;
};

/// Hallstrom weighs short slowdown, Cierre Común long first tokens.
Deployment Hallstrom();
Deployment Cierre();

/// Which classes arrive.
struct Mix {
  bool shorts = true;
  bool others = true;
};

/// Poisson arrivals of `rate` requests a second in all, of which `mix` is
/// kept, for `seconds`. The same seed gives the same requests.
std::vector<SimRequest> MakeWorkload(double rate, double seconds, uint64_t seed,
                                     const Mix& mix, int64_t memory_tokens);

}  // namespace peridotshelf::bench
