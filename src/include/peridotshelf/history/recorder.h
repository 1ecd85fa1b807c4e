/// Writes events to a file and reads files back.
#pragma once

#include <fstream>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "peridotshelf/history/event.h"

namespace peridotshelf::history {

/// Appends events of one process to a file. Thread-safe. Each event is handed
/// to the operating system at once, so that a kill loses none.
class Recorder {
 public:
  /// Opens `path` for appending; kInternal if that is not possible.
  static Result<std::unique_ptr<Recorder>> Open(const std::string& path,
                                                ProcessId process);
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  /// Appends `body`, stamped with the current time.
  void Record(EventBody body);

 private:
  Recorder(std::ofstream file, ProcessId process);

  ProcessId m_process;
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// Reads files written by recorders into one history, ordered by time. A last
/// line cut short by a kill is passed over; any other bad line is kBadField.
Result<std::vector<HistoryEvent>> ReadHistory(
    std::span<const std::string> paths);

}  // namespace peridotshelf::history
