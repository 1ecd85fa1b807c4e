/// Memory reservations at engines for prompts that no single engine can hold.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotshelf/gateway/messages.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::gateway {

/// Reserves memory at several engines, all or none, so that two long prompts
/// cannot deadlock by each holding memory that the other one waits for. An
/// engine releases a reservation that its entry no longer renews. Not
/// thread-safe.
class Reservations {
 public:
  using OnState =
      std::function<void(const std::string& address, const AnswerHead& head)>;

  /// `on_state` receives what the engine at an address says of itself.
  Reservations(io::IoThreads& threads, http::Client& client,
               const MessageCodec& codec, Duration ttl, OnState on_state)
      : m_shared(std::make_shared<Shared>(
            Shared{threads, client, codec, ttl, std::move(on_state)})) {}

  /// Called with the addresses of the engines that refused.
  using OnDone =
      std::function<void(const std::vector<std::string>& refused_addresses)>;

  /// Reserves `tokens` under `id` at each engine and calls `on_done` with the
  /// engines that refused. If any refused, the reservations at the others are
  /// released.
  void Reserve(const std::string& id, std::span<const std::string> addresses,
               int64_t tokens, OnDone on_done);
  /// Releases all reservations under `id`.
  void Release(const std::string& id);

 private:
  struct Shared {
    io::IoThreads& threads;
    http::Client& client;
    const MessageCodec& codec;
    Duration ttl;
    OnState on_state;
  };
  struct Group;
  using GroupPtr = std::shared_ptr<Group>;

  static void SendReserve(const GroupPtr& group, const std::string& address,
                          std::function<void(bool granted)> on_answer);
  /// Called on the client's thread.
  static void ReportState(const GroupPtr& group, const std::string& address,
                          const Result<http::ClientResponse>& response);
  static void ScheduleRenewal(const GroupPtr& group);
  static void SendRelease(const GroupPtr& group, const std::string& address,
                          int attempts);

  std::shared_ptr<Shared> m_shared;
  std::unordered_map<std::string, GroupPtr> m_groups;
};

}  // namespace peridotshelf::gateway
