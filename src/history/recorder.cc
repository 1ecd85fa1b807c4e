#include "peridotshelf/history/recorder.h"

#include <algorithm>
#include <utility>

#include "peridotshelf/history/codec.h"

namespace peridotshelf::history {
namespace {

/// Appends the events of the file to `events`.
Result<void> ReadFile(const std::string& path,
                      std::vector<HistoryEvent>& events) {
  std::ifstream file(path);
  if (!file) return Fail(ErrorCode::kInternal, "cannot read " + path);
  int64_t number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    auto event = ParseEvent(line);
    // A line without a line end was truncated by a kill of the writer.
    const bool cut_short = file.eof();
    if (!event && cut_short) break;
    if (!event) {
      return Fail(
          ErrorCode::kInvalidField,
          path + ":" + std::to_string(number) + ": " + event.error().detail);
    }
    events.push_back(*std::move(event));
  }
  return {};
}

}  // namespace

Result<std::unique_ptr<Recorder>> Recorder::Open(const std::string& path,
                                                 ProcessId process) {
  std::ofstream file(path, std::ios::app);
  if (!file) return Fail(ErrorCode::kInternal, "cannot write " + path);
  return std::unique_ptr<Recorder>(
      new Recorder(std::move(file), std::move(process)));
}

Recorder::Recorder(std::ofstream file, ProcessId process)
    : m_process(std::move(process)), m_file(std::move(file)) {}

void Recorder::Record(EventBody body) {
  std::scoped_lock lock(m_mutex);
  const HistoryEvent event{SteadyClock().Now(), m_process, std::move(body)};
  m_file << FormatEvent(event) << '\n' << std::flush;
}

Result<std::vector<HistoryEvent>> ReadHistory(
    std::span<const std::string> paths) {
  std::vector<HistoryEvent> events;
  for (const std::string& path : paths) {
    if (auto read = ReadFile(path, events); !read) {
      return tl::unexpected<Error>(read.error());
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const HistoryEvent& a, const HistoryEvent& b) {
                     return a.time < b.time;
                   });
  return events;
}

}  // namespace peridotshelf::history
