/// A map whose entries are spread over shards, each under its own lock.
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

/// Holds values by key; threads that touch different shards do not wait for
/// each other. Values are returned by copy, so `V` is usually a shared_ptr.
template <class K, class V, size_t kShards = 16>
class ShardedMap {
 public:
  /// Adds `value` under `key`; false if the key is taken.
  bool Insert(const K& key, V value) {
    Shard& shard = ShardOf(key);
    std::scoped_lock lock(shard.mutex);
    return shard.entries.emplace(key, std::move(value)).second;
  }
  /// The value under `key`, if any.
  std::optional<V> Find(const K& key) const {
    const Shard& shard = ShardOf(key);
    std::scoped_lock lock(shard.mutex);
    auto it = shard.entries.find(key);
    if (it == shard.entries.end()) return std::nullopt;
    return it->second;
  }
  /// Removes `key` and returns what it held, if anything.
  std::optional<V> Take(const K& key) {
    Shard& shard = ShardOf(key);
    std::scoped_lock lock(shard.mutex);
    auto it = shard.entries.find(key);
    if (it == shard.entries.end()) return std::nullopt;
    V value = std::move(it->second);
    shard.entries.erase(it);
    return value;
  }
  /// Copies of all values, shard by shard; not one consistent moment.
  std::vector<V> Values() const {
    std::vector<V> values;
    for (const Shard& shard : m_shards) {
      std::scoped_lock lock(shard.mutex);
      for (const auto& [key, value] : shard.entries) values.push_back(value);
    }
    return values;
  }
  /// Number of entries, shard by shard; not one consistent moment.
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
  Shard& ShardOf(const K& key) {
    return m_shards[std::hash<K>()(key) % kShards];
  }
  const Shard& ShardOf(const K& key) const {
    return m_shards[std::hash<K>()(key) % kShards];
  }
  std::array<Shard, kShards> m_shards;
};

}  // namespace peridotshelf
