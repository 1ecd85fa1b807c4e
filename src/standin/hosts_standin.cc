#include "peridotshelf/standin/hosts_standin.h"

#include <xxhash.h>

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "peridotshelf/http/server.h"

namespace peridotshelf::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

void ReplyJson(http::Responder& responder, int status, const json& body) {
  responder.Reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

/// The host list and its recent versions, so that readers can get a stale list.
class Store {
 public:
  explicit Store(Duration lag) : m_lag(lag) {
    m_versions.push_back({TimePoint(), json::array()});
  }

  void Handle(const http::ServerRequest& request, http::Responder& responder);

 private:
  struct Version {
    TimePoint since;
    json hosts;
  };
  void ApplyChange(const json& change);
  void ApplyFaults(const json& faults);
  json FindVisibleHosts();

  std::mutex m_mutex;
  std::deque<Version> m_versions;
  Duration m_lag;
  bool m_outage = false;
};

void Store::ApplyChange(const json& change) {
  std::scoped_lock lock(m_mutex);
  json hosts = m_versions.back().hosts;
  if (change.contains("hosts")) {
    hosts = change.at("hosts");
  } else {
    const json& host = change.at("host");
    json others = json::array();
    for (const json& entry : hosts) {
      if (entry.at("host") != host) others.push_back(entry);
    }
    if (change.at("state") != "gone") others.push_back(change);
    hosts = std::move(others);
  }
  m_versions.push_back({SteadyClock().Now(), std::move(hosts)});
}

json Store::FindVisibleHosts() {
  const TimePoint visible_at = SteadyClock().Now() - m_lag;
  while (m_versions.size() > 1 && m_versions[1].since <= visible_at) {
    m_versions.pop_front();
  }
  return m_versions.front().hosts;
}

void Store::ApplyFaults(const json& faults) {
  std::scoped_lock lock(m_mutex);
  if (faults.contains("outage")) m_outage = faults.at("outage") != "none";
  m_lag =
      std::chrono::milliseconds(faults.value("lag_ms", ToMilliseconds(m_lag)));
}

/// Replies with the list, or with 304 if the caller already has it.
void ReplyList(const http::ServerRequest& request, http::Responder& responder,
               std::string list) {
  constexpr int kNotModified = 304;
  const std::string etag =
      '"' + std::to_string(XXH64(list.data(), list.size(), 0)) + '"';
  if (request.FindHeader("If-None-Match") == etag) {
    responder.Reply(kNotModified, {{"ETag", etag}}, "");
    return;
  }
  responder.Reply(kOk, {{"Content-Type", "application/json"}, {"ETag", etag}},
                  std::move(list));
}

void Store::Handle(const http::ServerRequest& request,
                   http::Responder& responder) {
  try {
    if (request.path == "/control") {
      ApplyFaults(json::parse(request.body));
      return ReplyJson(responder, kOk, json::object());
    }
    if (request.method == "POST") {
      ApplyChange(json::parse(request.body));
      return ReplyJson(responder, kOk, json::object());
    }
  } catch (const json::exception& e) {
    return ReplyJson(responder, kBadRequest, {{"error", e.what()}});
  }
  json hosts;
  {
    std::scoped_lock lock(m_mutex);
    if (!m_outage) hosts = FindVisibleHosts();
  }
  if (hosts.is_null()) {
    return ReplyJson(responder, kUnavailable, {{"error", "outage"}});
  }
  ReplyList(request, responder, json{{"hosts", std::move(hosts)}}.dump());
}

}  // namespace

struct HostsStandin::Impl {
  std::shared_ptr<Store> store;
  std::unique_ptr<http::Server> server;
};

HostsStandin::HostsStandin(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

HostsStandin::~HostsStandin() = default;

Result<std::unique_ptr<HostsStandin>> HostsStandin::Create(
    io::IoThreads& threads, const HostsStandinOptions& options) {
  auto impl = std::make_unique<Impl>();
  impl->store = std::make_shared<Store>(options.lag);
  http::ServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  auto server = http::Server::Create(
      threads, server_options,
      [store = impl->store](const http::ServerRequest& request,
                            const http::ResponderPtr& responder) {
        store->Handle(request, *responder);
      });
  if (!server) return tl::unexpected<Error>(server.error());
  impl->server = std::move(*server);
  return std::unique_ptr<HostsStandin>(new HostsStandin(std::move(impl)));
}

}  // namespace peridotshelf::standin
