#include "side/admission.h"

#include "peridotshelf/wire/codec.h"

namespace peridotshelf::side {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

Result<void> Admission::Reserve(const wire::Reserve& reserve) {
  const int64_t tokens = reserve.prompt_tokens + reserve.max_tokens;
  std::scoped_lock lock(m_mutex);
  const bool fits = m_used_tokens + tokens <= m_engine.memory_tokens &&
                    m_held_tokens.size() < static_cast<size_t>(m_engine.slots);
  if (!fits) {
    return tl::unexpected<Error>(
        Error{ErrorCode::kOverloaded, m_engine.id.value(), true, kRetryAfter});
  }
  if (!m_held_tokens.emplace(wire::FromWire(reserve.attempt), tokens).second) {
    return Fail(ErrorCode::kProtocol, "the attempt holds memory already");
  }
  m_used_tokens += tokens;
  return {};
}

void Admission::Release(const AttemptId& attempt) {
  std::scoped_lock lock(m_mutex);
  auto it = m_held_tokens.find(attempt);
  if (it == m_held_tokens.end()) return;
  m_used_tokens -= it->second;
  m_held_tokens.erase(it);
}

wire::EngineLoad Admission::Load() const {
  std::scoped_lock lock(m_mutex);
  wire::EngineLoad load;
  load.engine = m_engine.id.value();
  load.free_tokens = m_engine.memory_tokens - m_used_tokens;
  load.free_slots = m_engine.slots - static_cast<int32_t>(m_held_tokens.size());
  return load;
}

}  // namespace peridotshelf::side
