/// Targets of a load run: entries, or one engine directly.
#pragma once

#include <atomic>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/backend/engine_client.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/load/prompt_pool.h"

namespace peridotshelf::load {

/// Callbacks of one request: `on_text` for each piece of the answer, then
/// `on_done` once. They are called one at a time.
struct ExchangeCallbacks {
  std::function<void(std::string_view)> on_text;
  std::function<void(const Result<void>&)> on_done;
};

/// A target that prompts can be sent to.
template <class T>
concept LoadTarget = requires(T& target, const Prompt& prompt,
                              ExchangeCallbacks callbacks) {
  target.Send(prompt, callbacks);
};

/// Fields that all requests of a run share.
struct LoadRequestOptions {
  std::string model;
  std::string team;
  int64_t max_tokens = 16;
  Duration timeout = std::chrono::seconds(60);
  /// Whether to request the answer as server-sent events.
  bool stream = true;
};

/// HTTP clients with a thread each, used round robin.
class ClientPool {
 public:
  explicit ClientPool(size_t clients);
  http::Client& Next();

 private:
  std::vector<std::unique_ptr<http::Client>> m_clients;
  std::atomic<size_t> m_next{0};
};

/// Sends requests to entries, round robin.
class EntryTarget {
 public:
  /// `clients` must outlive the target.
  EntryTarget(ClientPool& clients, std::vector<std::string> urls,
              LoadRequestOptions options);
  void Send(const Prompt& prompt, ExchangeCallbacks callbacks);

 private:
  http::ClientRequest MakeRequest(const Prompt& prompt);

  ClientPool& m_clients;
  std::vector<std::string> m_urls;
  LoadRequestOptions m_options;
  std::atomic<size_t> m_next{0};
};

/// Sends requests to one engine, bypassing entry and side.
class EngineTarget {
 public:
  /// `clients` must outlive the target.
  EngineTarget(ClientPool& clients, std::string url,
               LoadRequestOptions options);
  void Send(const Prompt& prompt, const ExchangeCallbacks& callbacks);

 private:
  ClientPool& m_clients;
  std::string m_url;
  LoadRequestOptions m_options;
};

static_assert(LoadTarget<EntryTarget> && LoadTarget<EngineTarget>);

}  // namespace peridotshelf::load
