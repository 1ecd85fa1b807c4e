#include "peridotshelf/operator_log.h"

#include <chrono>
#include <ctime>
#include <future>
#include <thread>

namespace peridotshelf::program {
namespace {

/// Starts an asynchronous call and waits for the result of its callback.
template <class T, class Call>
Result<T> Await(Call call) {
  auto promise = std::make_shared<std::promise<Result<T>>>();
  call([promise](Result<T> result) { promise->set_value(std::move(result)); });
  return promise->get_future().get();
}

}  // namespace

Result<int64_t> HttpBlockingLog::Append(const std::string& payload) {
  return Await<int64_t>(
      [&](auto on_appended) { m_log.Append(payload, std::move(on_appended)); });
}

Result<platform::LogPage> HttpBlockingLog::Read(int64_t from, Duration wait) {
  return Await<platform::LogPage>(
      [&](auto on_read) { m_log.Read(from, wait, std::move(on_read)); });
}

void SleepingClock::Sleep(Duration span) { std::this_thread::sleep_for(span); }

std::string UtcNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[sizeof "2026-12-03T20:39:00Z"];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

}  // namespace peridotshelf::program
