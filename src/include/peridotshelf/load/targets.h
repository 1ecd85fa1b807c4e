/// What a load run may be sent to: entries, or one engine directly.
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

/// Progress of one request: any number of pieces, then one end. Called one at
/// a time.
struct ExchangeCallbacks {
  std::function<void(std::string_view)> on_text;
  std::function<void(const Result<void>&)> on_done;
};

/// Where prompts are sent.
template <class T>
concept LoadTarget = requires(T& target, const Prompt& prompt,
                              ExchangeCallbacks callbacks) {
  target.Send(prompt, callbacks);
};

/// What is the same in every request of a run.
struct RequestTerms {
  std::string model;
  std::string team;
  int64_t max_tokens = 16;
  Duration timeout = std::chrono::seconds(60);
  /// Whether answers come as server-sent events.
  bool stream = true;
};

/// Several HTTP clients, each with its own thread, taken in turn.
class ClientPool {
 public:
  explicit ClientPool(size_t clients);
  http::Client& Next();

 private:
  std::vector<std::unique_ptr<http::Client>> m_clients;
  std::atomic<size_t> m_next{0};
};

/// Entries, taken in turn.
class EntryTarget {
 public:
  /// `clients` must outlive the target.
  EntryTarget(ClientPool& clients, std::vector<std::string> urls,
              RequestTerms terms);
  void Send(const Prompt& prompt, ExchangeCallbacks callbacks);

 private:
  http::ClientRequest MakeRequest(const Prompt& prompt);

  ClientPool& m_clients;
  std::vector<std::string> m_urls;
  RequestTerms m_terms;
  std::atomic<size_t> m_next{0};
};

/// One engine, without entry and side between.
class EngineTarget {
 public:
  /// `clients` must outlive the target.
  EngineTarget(ClientPool& clients, std::string url, RequestTerms terms);
  void Send(const Prompt& prompt, const ExchangeCallbacks& callbacks);

 private:
  ClientPool& m_clients;
  std::string m_url;
  RequestTerms m_terms;
};

static_assert(LoadTarget<EntryTarget> && LoadTarget<EngineTarget>);

}  // namespace peridotshelf::load
