#include "peridotshelf/stop_signal.h"

#include <ctime>

namespace peridotshelf::program {

StopSignal::StopSignal() : StopSignal(/*with_reload=*/false) {}

StopSignal StopSignal::WithReload() { return StopSignal(/*with_reload=*/true); }

StopSignal::StopSignal(bool with_reload) {
  sigemptyset(&m_signals);
  sigaddset(&m_signals, SIGINT);
  sigaddset(&m_signals, SIGTERM);
  if (with_reload) sigaddset(&m_signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  // Writing to a connection that the peer closed fails with an error instead.
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::Wait() const {
  int signal = 0;
  sigwait(&m_signals, &signal);
}

std::optional<SignalAction> StopSignal::WaitFor(Duration timeout) const {
  constexpr int64_t kNanosPerSecond = 1'000'000'000;
  timespec wait_limit{};
  wait_limit.tv_sec = timeout.count() / kNanosPerSecond;
  wait_limit.tv_nsec = timeout.count() % kNanosPerSecond;
  const int signal = sigtimedwait(&m_signals, nullptr, &wait_limit);
  if (signal < 0) return std::nullopt;
  return signal == SIGHUP ? SignalAction::kReload : SignalAction::kStop;
}

}  // namespace peridotshelf::program
