#include "receive_windows.h"

#include <algorithm>

namespace peridotshelf::http::detail {

void ReceiveWindows::Open(uint64_t call, size_t capacity) {
  const std::scoped_lock lock(m_mutex);
  m_windows[call] = {.capacity = capacity};
}

void ReceiveWindows::Close(uint64_t call) {
  const std::scoped_lock lock(m_mutex);
  m_windows.erase(call);
}

bool ReceiveWindows::TryDeliver(uint64_t call, size_t bytes) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_windows.find(call);
  if (found == m_windows.end()) return true;
  Window& window = found->second;
  if (window.unread > 0 && window.unread + bytes > window.capacity) {
    window.is_paused = true;
    return false;
  }
  window.unread += bytes;
  return true;
}

bool ReceiveWindows::Release(uint64_t call, size_t bytes) {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_windows.find(call);
  if (found == m_windows.end()) return false;
  Window& window = found->second;
  window.unread -= std::min(window.unread, bytes);
  // Hysteresis: a call that goes on after each small read would pause again at
  // once.
  if (!window.is_paused || window.unread > window.capacity / 2) return false;
  window.is_paused = false;
  return true;
}

}  // namespace peridotshelf::http::detail
