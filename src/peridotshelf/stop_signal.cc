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
  // A peer that goes away shows as a failed write.
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::Wait() const {
  int signal = 0;
  sigwait(&m_signals, &signal);
}

std::optional<Request> StopSignal::WaitFor(Duration timeout) const {
  constexpr int64_t kNanosPerSecond = 1'000'000'000;
  timespec limit{};
  limit.tv_sec = timeout.count() / kNanosPerSecond;
  limit.tv_nsec = timeout.count() % kNanosPerSecond;
  const int signal = sigtimedwait(&m_signals, nullptr, &limit);
  if (signal < 0) return std::nullopt;
  return signal == SIGHUP ? Request::kReload : Request::kStop;
}

}  // namespace peridotshelf::program
