/// A position in a topic of the platform's store.
#pragma once

#include <cstdint>

namespace peridotshelf::discovery {

/// A position in a topic that may be restored from an older copy.
struct TopicPosition {
  /// Rises with each restore.
  int64_t epoch = 0;
  /// Offset of the next record to read; only comparable within an epoch.
  int64_t offset = 0;

  bool IsBehind(const TopicPosition& other) const {
    return epoch == other.epoch ? offset < other.offset : epoch < other.epoch;
  }
  friend bool operator==(const TopicPosition&, const TopicPosition&) = default;
};

}  // namespace peridotshelf::discovery
