/// How much a measured duration of calls counts as it ages.
#pragma once

#include <cmath>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling::detail {

/// After this long without a call a measured duration counts half.
constexpr Duration kHalfLife = std::chrono::seconds(2);

inline double WeightAtAge(Duration age) {
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(kHalfLife));
}

}  // namespace peridotshelf::scheduling::detail
