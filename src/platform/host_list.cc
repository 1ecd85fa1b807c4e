#include "peridotshelf/platform/host_list.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace peridotshelf::platform {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

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

HttpHostList::HttpHostList(std::string base_url, http::Client& client,
                           Duration timeout)
    : m_base_url(std::move(base_url)), m_client(&client), m_timeout(timeout) {}

void HttpHostList::Fetch(
    std::function<void(Result<std::vector<HostEntry>>)> on_list) {
  http::ClientRequest request;
  request.url = m_base_url + "/v1/hosts";
  request.timeout = m_timeout;
  m_client->Fetch(std::move(request),
                  [on_list = std::move(on_list)](
                      const Result<http::ClientResponse>& response) {
                    on_list(ReadList(response));
                  });
}

}  // namespace peridotshelf::platform
