/// Memory set aside at engines for prompts that no single engine can hold.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotshelf/gateway/messages.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::gateway {

/// Takes memory at several engines all or not at all, so that two long prompts
/// never hold parts that the other one waits for. What is held lapses by itself
/// soon after its entry stops renewing it. Not thread-safe.
class Reservations {
 public:
  Reservations(io::IoThreads& threads, http::Client& client,
               const MessageCodec& codec, Duration hold)
      : m_shared(
            std::make_shared<Shared>(Shared{threads, client, codec, hold})) {}

  /// Called with the addresses of the engines that did not grant.
  using OnDone = std::function<void(const std::vector<std::string>& refused)>;

  /// Asks each engine for `tokens` under `id`; `on_done` tells which did not
  /// grant it. If any did not, what the others granted is given back.
  void Reserve(const std::string& id, std::span<const std::string> addresses,
               int64_t tokens, OnDone on_done);
  /// Gives back all that is held under `id`.
  void Release(const std::string& id);

 private:
  struct Shared {
    io::IoThreads& threads;
    http::Client& client;
    const MessageCodec& codec;
    Duration hold;
  };
  struct Group;
  using GroupPtr = std::shared_ptr<Group>;

  static void Ask(const GroupPtr& group, const std::string& address,
                  std::function<void(bool granted)> on_answer);
  static void Renew(const GroupPtr& group);
  static void GiveBack(const GroupPtr& group, const std::string& address,
                       int tries);

  std::shared_ptr<Shared> m_shared;
  std::unordered_map<std::string, GroupPtr> m_groups;
};

}  // namespace peridotshelf::gateway
