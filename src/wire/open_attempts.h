/// Which attempts a connection carries, read off the frames that pass.
#pragma once

#include <optional>
#include <string>
#include <unordered_set>

#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::wire {

/// An attempt that a frame opens or ends; "REQUEST.NUMBER".
struct AttemptChange {
  std::string attempt;
  bool opens = false;
};

/// What `frame` changes, if anything.
std::optional<AttemptChange> ChangeOf(const Frame& frame);

/// The open attempts of one connection. Not thread-safe.
class OpenAttempts {
 public:
  /// Takes a change; says whether the connection thereby came into use.
  bool Apply(const AttemptChange& change);
  /// Whether any attempt is open.
  bool in_use() const { return !m_open.empty(); }

 private:
  std::unordered_set<std::string> m_open;
};

}  // namespace peridotshelf::wire
