/// Ports for tests that listen, so that parallel test runs do not collide.
#pragma once

#include <cstdint>

namespace peridotshelf::testing {

/// Returns a port of 127.0.0.1 that no process uses at present, by TCP or UDP.
/// Throws std::runtime_error if it finds none.
uint16_t FindFreePort();

}  // namespace peridotshelf::testing
