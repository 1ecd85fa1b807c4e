/// A thread-safe map, split into shards with separate locks.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotshelf {

/// Maps keys to values. Threads that access different shards do not block each
/// other. Values are returned by copy, so `V` is usually a shared_ptr.
template <class K, class V, size_t kShards = 16>
class ShardedMap {
 public:
  /// Adds `value` under `key`. Returns false if the key already exists.
  bool Insert(const K& key, V value) {
    Shard& shard = FindShard(key);
    std::scoped_lock lock(shard.mutex);
    return shard.entries.emplace(key, std::move(value)).second;
  }
  /// Returns a copy of the value under `key`, if any.
  std::optional<V> Find(const K& key) const {
    const Shard& shard = FindShard(key);
    std::scoped_lock lock(shard.mutex);
    auto it = shard.entries.find(key);
    if (it == shard.entries.end()) return std::nullopt;
    return it->second;
  }
  /// Removes `key` and returns its value, if any.
  std::optional<V> Take(const K& key) {
    Shard& shard = FindShard(key);
    std::scoped_lock lock(shard.mutex);
    auto it = shard.entries.find(key);
    if (it == shard.entries.end()) return std::nullopt;
    V value = std::move(it->second);
    shard.entries.erase(it);
    return value;
  }
  /// Returns copies of all values. The shards are read one after the other,
  /// so the result is not a consistent snapshot.
  std::vector<V> Values() const {
    std::vector<V> values;
    for (const Shard& shard : m_shards) {
      std::scoped_lock lock(shard.mutex);
      for (const auto& [key, value] : shard.entries) values.push_back(value);
    }
    return values;
  }
  /// Returns the number of entries. Like `Values`, not a consistent snapshot.
  size_t Size() const {
    size_t total = 0;
    for (const Shard& shard : m_shards) {
      std::scoped_lock lock(shard.mutex);
      total += shard.entries.size();
    }
    return total;
  }

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<K, V> entries;
  };
  Shard& FindShard(const K& key) {
    return m_shards[std::hash<K>()(key) % kShards];
  }
  const Shard& FindShard(const K& key) const {
    return m_shards[std::hash<K>()(key) % kShards];
  }
  std::array<Shard, kShards> m_shards;
};

}  // namespace peridotshelf
