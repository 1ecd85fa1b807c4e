#include "peridotshelf/testing/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace peridotshelf::testing {

uint16_t FindFreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* socket_address = reinterpret_cast<sockaddr*>(&address);
  const bool bound = probe >= 0 && bind(probe, socket_address, size) == 0 &&
                     getsockname(probe, socket_address, &size) == 0;
  if (probe >= 0) close(probe);
  if (!bound)
    throw std::runtime_error("cannot find a free TCP port on 127.0.0.1");
  return ntohs(address.sin_port);
}

}  // namespace peridotshelf::testing
