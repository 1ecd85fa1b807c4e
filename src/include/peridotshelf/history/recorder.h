/// Writes events to files and reads them back.
#pragma once

#include <fstream>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "peridotshelf/history/event.h"

namespace peridotshelf::history {

/// Appends events of one process to a file. Thread-safe. Each event is flushed
/// to the operating system at once, so that a kill of the process loses none.
class Recorder {
 public:
  /// Opens `path` for appending. Returns kInternal if this fails.
  static Result<std::unique_ptr<Recorder>> Open(const std::string& path,
                                                ProcessId process);
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  /// Appends `body` with the current time.
  void Record(EventBody body);

 private:
  Recorder(std::ofstream file, ProcessId process);

  ProcessId m_process;
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// Reads files written by recorders into one history, ordered by time. Ignores
/// a last line that a kill truncated; returns kInvalidField for any other
/// malformed line and kInternal if a file cannot be read.
Result<std::vector<HistoryEvent>> ReadHistory(
    std::span<const std::string> paths);

}  // namespace peridotshelf::history
