/// Ports for tests that listen, so that runs side by side do not collide.
#pragma once

#include <cstdint>

namespace peridotshelf::testing {

/// A TCP port of 127.0.0.1 that nothing listens on at the moment.
uint16_t FreePort();

}  // namespace peridotshelf::testing
