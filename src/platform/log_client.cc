#include "peridotshelf/platform/log_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace peridotshelf::platform {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;

/// Returns the error of a failed call: kPlatformUnavailable for all causes.
tl::unexpected<Error> MakeUnavailableError(std::string detail, bool not_run) {
  return tl::unexpected<Error>(
      Error{ErrorCode::kPlatformUnavailable, std::move(detail), not_run, {}});
}

/// Returns the response's JSON, or kPlatformUnavailable.
Result<json> ReadAnswer(const Result<http::ClientResponse>& response) {
  if (!response) {
    return MakeUnavailableError("log: " + response.error().detail,
                                response.error().not_run);
  }
  if (response->status != kOk) {
    return MakeUnavailableError(
        "log: HTTP status " + std::to_string(response->status),
        response->status == kTooManyRequests);
  }
  json answer = json::parse(response->body, nullptr, false);
  if (!answer.is_object())
    return MakeUnavailableError("log: malformed response", false);
  return answer;
}

Result<int64_t> ReadOffset(const Result<http::ClientResponse>& response) {
  const Result<json> answer = ReadAnswer(response);
  if (!answer) return tl::unexpected<Error>(answer.error());
  const auto offset = answer->find("offset");
  if (offset == answer->end() || !offset->is_number_integer()) {
    return MakeUnavailableError("log: response without an offset", false);
  }
  return offset->get<int64_t>();
}

Result<LogPage> ReadPage(const Result<http::ClientResponse>& response) {
  const Result<json> answer = ReadAnswer(response);
  if (!answer) return tl::unexpected<Error>(answer.error());
  try {
    LogPage page;
    page.first_offset = answer->at("first_offset").get<int64_t>();
    page.next_offset = answer->at("next_offset").get<int64_t>();
    for (const json& record : answer->at("records")) {
      page.records.push_back({record.at("offset").get<int64_t>(),
                              record.at("payload").get<std::string>()});
    }
    return page;
  } catch (const json::exception& e) {
    return MakeUnavailableError(std::string("log: malformed page: ") + e.what(),
                                false);
  }
}

/// Returns a call with a connection of its own. On a kept one a late copy of an
/// answer would be taken for the answer to the next call, and a call could be
/// sent twice.
http::ClientRequest MakeCall(std::string url, Duration timeout) {
  http::ClientRequest request;
  request.url = std::move(url);
  request.timeout = timeout;
  request.fresh_connection = true;
  return request;
}

}  // namespace

HttpLogClient::HttpLogClient(std::string base_url, http::Client& client,
                             LogClientOptions options)
    : m_base_url(std::move(base_url)), m_client(&client), m_options(options) {}

void HttpLogClient::Append(std::string payload,
                           std::function<void(Result<int64_t>)> on_appended) {
  http::ClientRequest request =
      MakeCall(m_base_url + "/v1/log", m_options.append_timeout);
  request.method = "POST";
  request.headers = {{"Content-Type", "application/octet-stream"}};
  request.body = std::move(payload);
  m_client->Fetch(std::move(request),
                  [on_appended = std::move(on_appended)](
                      const Result<http::ClientResponse>& response) {
                    on_appended(ReadOffset(response));
                  });
}

void HttpLogClient::Read(int64_t from, Duration wait,
                         std::function<void(Result<LogPage>)> on_read) {
  std::string url = m_base_url + "/v1/log?from=" + std::to_string(from) +
                    "&wait_ms=" + std::to_string(ToMilliseconds(wait));
  m_client->Fetch(MakeCall(std::move(url), wait + m_options.read_grace),
                  [on_read = std::move(on_read)](
                      const Result<http::ClientResponse>& response) {
                    on_read(ReadPage(response));
                  });
}

}  // namespace peridotshelf::platform
