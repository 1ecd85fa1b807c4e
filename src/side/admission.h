/// Decides which reservations one engine can take.
#pragma once

#include <mutex>
#include <unordered_map>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/control/configuration.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::side {

/// Counts one engine's memory and slots. Thread-safe.
class Admission {
 public:
  explicit Admission(const control::EngineConfig& engine) : m_engine(engine) {}

  /// Holds memory and a slot for the attempt, or says why not.
  Result<void> Reserve(const wire::Reserve& reserve);
  /// Frees what the attempt holds; does nothing if it holds nothing.
  void Release(const AttemptId& attempt);
  /// What is free now.
  wire::EngineLoad Load() const;

 private:
  control::EngineConfig m_engine;
  mutable std::mutex m_mutex;
  std::unordered_map<AttemptId, int64_t> m_held_tokens;
  int64_t m_used_tokens = 0;
};

}  // namespace peridotshelf::side
