/// The boundary at which an exception ends one piece of a thread's work and not
/// the process.
#pragma once

#include <cstdint>
#include <string_view>
#include <utility>

namespace peridotshelf::events {

/// Logs the exception that is being handled as `exception_caught`. Must be
/// called in a catch block.
void NoteException(std::string_view where) noexcept;

/// Returns how many exceptions `NoteException` was called for.
uint64_t CountExceptions() noexcept;

/// Runs `work`. Returns false if it threw; the exception is logged with
/// `where`, the name of the boundary.
template <class Work>
[[nodiscard]] bool RunGuarded(std::string_view where, Work&& work) noexcept {
  try {
    std::forward<Work>(work)();
    return true;
  } catch (...) {
    NoteException(where);
    return false;
  }
}

}  // namespace peridotshelf::events
