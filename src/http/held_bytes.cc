#include "peridotshelf/http/held_bytes.h"

#include <algorithm>

namespace peridotshelf::http {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(2);
constexpr Duration kMinWait = std::chrono::seconds(1);
/// Another gateway may serve the caller earlier.
constexpr Duration kMaxWait = std::chrono::seconds(5);
/// Share of the limit that larger bodies leave to small ones.
constexpr size_t kSmallBodyShare = 8;

}  // namespace

bool HeldBytes::TryAdd(size_t held, size_t more) {
  const bool is_small = held + more <= kSmallBodyBytes;
  const size_t allowed =
      is_small ? m_limit : m_limit - m_limit / kSmallBodyShare;
  if (m_bytes >= allowed || more > allowed - m_bytes) return false;
  m_bytes += more;
  return true;
}

void HeldBytes::Remove(size_t bytes, TimePoint now) {
  m_bytes -= std::min(bytes, m_bytes);
  if (now - m_current.begin > kPeriod) {
    m_previous = m_current;
    m_current = {now, 0};
  }
  m_current.removed += bytes;
}

Duration HeldBytes::PredictWait(TimePoint now) const {
  const bool is_previous_recent = now - m_previous.begin < 3 * kPeriod;
  const TimePoint begin =
      is_previous_recent ? m_previous.begin : m_current.begin;
  const size_t removed =
      m_current.removed + (is_previous_recent ? m_previous.removed : 0);
  const size_t allowed = m_limit - m_limit / kSmallBodyShare;
  const size_t excess = m_bytes > allowed ? m_bytes - allowed : 0;
  const double needed = static_cast<double>(excess + kSmallBodyBytes);
  if (removed == 0) return kMaxWait;
  const std::chrono::duration<double> wait =
      std::chrono::duration<double>(now - begin) * needed /
      static_cast<double>(removed);
  if (wait >= kMaxWait) return kMaxWait;
  return std::max(kMinWait, std::chrono::duration_cast<Duration>(wait));
}

bool HeldBytesLease::TryAdd(size_t bytes) {
  if (m_total && !m_total->TryAdd(m_bytes, bytes)) return false;
  m_bytes += bytes;
  return true;
}

void HeldBytesLease::Add(size_t bytes) {
  if (m_total) m_total->Add(bytes);
  m_bytes += bytes;
}

void HeldBytesLease::Remove(size_t bytes) {
  bytes = std::min(bytes, m_bytes);
  if (bytes == 0) return;
  if (m_total) m_total->Remove(bytes, SteadyClock().Now());
  m_bytes -= bytes;
}

}  // namespace peridotshelf::http
