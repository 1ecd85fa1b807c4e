#include "peridotshelf/stop_signal.h"

#include <csignal>

namespace peridotshelf::program {
namespace {

sigset_t StopSet() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  return set;
}

}  // namespace

StopSignal::StopSignal() {
  const sigset_t set = StopSet();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  // A peer that goes away shows as a failed write.
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::Wait() const {
  const sigset_t set = StopSet();
  int signal = 0;
  sigwait(&set, &signal);
}

}  // namespace peridotshelf::program
