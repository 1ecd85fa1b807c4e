/// Flow control of responses: how many bytes of each call wait for their
/// consumer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace peridotshelf::http::detail {

/// The receive windows of calls, by id. A call without a window is not limited.
/// Thread-safe.
class ReceiveWindows {
 public:
  /// Opens a window of `capacity` bytes.
  void Open(uint64_t call, size_t capacity);
  void Close(uint64_t call);
  /// Returns whether the call may deliver `bytes` now. If not, it is paused
  /// until `Release` returns true. A single delivery may exceed the capacity.
  bool TryDeliver(uint64_t call, size_t bytes);
  /// Records that `bytes` were consumed; returns whether this ends a pause.
  bool Release(uint64_t call, size_t bytes);

 private:
  struct Window {
    size_t capacity = 0;
    size_t unread = 0;
    bool is_paused = false;
  };

  std::mutex m_mutex;
  std::unordered_map<uint64_t, Window> m_windows;
};

}  // namespace peridotshelf::http::detail
