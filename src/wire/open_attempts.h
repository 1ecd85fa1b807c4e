/// Tracks the open attempts of a connection by the frames sent on it.
#pragma once

#include <optional>
#include <string>
#include <unordered_set>

#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::wire {

/// An attempt that a frame opens or ends.
struct AttemptChange {
  /// "REQUEST.NUMBER".
  std::string attempt;
  /// Whether the frame opens the attempt; otherwise the frame ends it.
  bool opens = false;
};

/// Returns the attempt that `frame` opens or ends, if any.
std::optional<AttemptChange> FindAttemptChange(const Frame& frame);

/// The open attempts of one connection. Not thread-safe.
class OpenAttempts {
 public:
  /// Applies a change. Returns whether it opened the first attempt on an idle
  /// connection.
  bool Apply(const AttemptChange& change);
  /// Whether any attempt is open.
  bool in_use() const { return !m_open.empty(); }

 private:
  std::unordered_set<std::string> m_open;
};

}  // namespace peridotshelf::wire
