#include "peridotshelf/events/guard.h"

#include <atomic>
#include <exception>
#include <string>

#include "peridotshelf/events/log.h"

namespace peridotshelf::events {
namespace {

std::atomic<uint64_t> g_exceptions{0};

std::string DescribeCurrent() {
  try {
    throw;
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "not a std::exception";
  }
}

}  // namespace

void NoteException(std::string_view where) noexcept {
  ++g_exceptions;
  try {
    Log(EventId::kExceptionCaught,
        {{"where", where}, {"reason", DescribeCurrent()}});
  } catch (...) {
    // Without memory for the line only the counter tells.
    return;
  }
}

uint64_t CountExceptions() noexcept { return g_exceptions; }

}  // namespace peridotshelf::events
