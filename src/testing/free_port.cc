#include "peridotshelf/testing/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace peridotshelf::testing {
namespace {

constexpr int kMaxTries = 100;

/// Binds a socket of `type` to `port`, 0 for any, and closes it. Returns the
/// port, or 0 if it is in use.
uint16_t TryPort(int type, uint16_t port) {
  const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* socket_address = reinterpret_cast<sockaddr*>(&address);
  const bool bound = probe >= 0 && bind(probe, socket_address, size) == 0 &&
                     getsockname(probe, socket_address, &size) == 0;
  if (probe >= 0) close(probe);
  return bound ? ntohs(address.sin_port) : 0;
}

}  // namespace

uint16_t FindFreePort() {
  for (int i = 0; i < kMaxTries; ++i) {
    const uint16_t port = TryPort(SOCK_STREAM, 0);
    if (port != 0 && TryPort(SOCK_DGRAM, port) != 0) return port;
  }
  throw std::runtime_error("cannot find a free port on 127.0.0.1");
}

}  // namespace peridotshelf::testing
