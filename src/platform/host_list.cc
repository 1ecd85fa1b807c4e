#include "peridotshelf/platform/host_list.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotshelf::platform {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr Duration kMinDelay = std::chrono::seconds(1);
/// Maximum transfer rate of full lists, in bytes per second: low if each
/// response contains the full list, higher if only responses after a change do.
constexpr int64_t kUntaggedBytesPerSecond = 1024;
constexpr int64_t kTaggedBytesPerSecond = 16 * 1024;

HostEntry ReadEntry(const json& line) {
  HostEntry entry;
  entry.host = HostId(line.at("host").get<std::string>());
  entry.role = line.at("role").get<std::string>() == "entry" ? HostRole::kEntry
                                                             : HostRole::kSide;
  entry.state = line.at("state").get<std::string>() == "leaving"
                    ? HostState::kLeaving
                    : HostState::kLive;
  entry.address = line.at("address").get<std::string>();
  entry.port = line.at("port").get<uint16_t>();
  entry.failure_domain =
      FailureDomain(line.value("failure_domain", std::string()));
  return entry;
}

Result<std::vector<HostEntry>> ReadList(
    const Result<http::ClientResponse>& response) {
  if (!response) {
    return Fail(ErrorCode::kPlatformUnavailable,
                "host list: " + response.error().detail);
  }
  if (response->status != kOk) {
    return Fail(ErrorCode::kPlatformUnavailable,
                "host list: HTTP status " + std::to_string(response->status));
  }
  try {
    std::vector<HostEntry> entries;
    const json answer = json::parse(response->body);
    for (const json& line : answer.at("hosts")) {
      entries.push_back(ReadEntry(line));
    }
    return entries;
  } catch (const json::exception& e) {
    return Fail(ErrorCode::kPlatformUnavailable,
                std::string("host list: malformed: ") + e.what());
  }
}

}  // namespace

struct HttpHostList::Cache {
  Result<std::vector<HostEntry>> Update(
      const Result<http::ClientResponse>& response);

  mutable std::mutex mutex;
  std::string etag;
  std::vector<HostEntry> list;
  /// Size of the last response's body.
  int64_t body_bytes = 0;
};

Result<std::vector<HostEntry>> HttpHostList::Cache::Update(
    const Result<http::ClientResponse>& response) {
  std::scoped_lock lock(mutex);
  body_bytes =
      response ? static_cast<int64_t>(response->body.size()) : int64_t{0};
  if (response && response->status == kNotModified) return list;
  Result<std::vector<HostEntry>> read = ReadList(response);
  if (read) {
    list = *read;
    etag = response->etag;
  }
  return read;
}

HttpHostList::HttpHostList(std::string base_url, http::Client& client,
                           Duration timeout)
    : m_base_url(std::move(base_url)),
      m_client(&client),
      m_timeout(timeout),
      m_cache(std::make_shared<Cache>()) {}

void HttpHostList::Fetch(
    std::function<void(Result<std::vector<HostEntry>>)> on_list) {
  http::ClientRequest request;
  request.url = m_base_url + "/v1/hosts";
  request.timeout = m_timeout;
  // On a kept connection a late copy of a list would be taken for the next one.
  request.fresh_connection = true;
  {
    std::scoped_lock lock(m_cache->mutex);
    if (!m_cache->etag.empty()) {
      request.headers.push_back({"If-None-Match", m_cache->etag});
    }
  }
  m_client->Fetch(std::move(request),
                  [cache = m_cache, on_list = std::move(on_list)](
                      const Result<http::ClientResponse>& response) {
                    on_list(cache->Update(response));
                  });
}

Duration HttpHostList::NextDelay() const {
  std::scoped_lock lock(m_cache->mutex);
  const int64_t rate =
      m_cache->etag.empty() ? kUntaggedBytesPerSecond : kTaggedBytesPerSecond;
  const Duration rate_limit_delay =
      std::chrono::milliseconds(1000 * m_cache->body_bytes / rate);
  return std::max(kMinDelay, rate_limit_delay);
}

}  // namespace peridotshelf::platform
