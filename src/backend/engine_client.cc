#include "peridotshelf/backend/engine_client.h"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotshelf::backend {
namespace {

using nlohmann::json;

/// An engine stream that carries no bytes for this long, not even a keep-alive
/// line, has failed.
constexpr Duration kStreamIdleTimeout = std::chrono::milliseconds(1600);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr std::string_view kRunsPath = "/v1/engine/runs";

/// Splits a byte stream into lines and parses each as one JSON message.
class LineReader {
 public:
  explicit LineReader(EngineCallbacks callbacks)
      : m_callbacks(std::move(callbacks)) {}

  void SetStatus(int status) { m_status = status; }

  void Append(std::string_view data) {
    m_unread.append(data);
    if (m_status != kHttpOk) return;
    size_t begin = 0;
    for (size_t end = m_unread.find('\n'); end != std::string::npos;
         end = m_unread.find('\n', begin)) {
      ParseLine(std::string_view{m_unread}.substr(begin, end - begin));
      begin = end + 1;
    }
    m_unread.erase(0, begin);
  }

  void OnDone(const Result<int>& outcome) {
    if (!outcome) {
      m_callbacks.on_done(tl::unexpected<Error>(outcome.error()));
    } else if (*outcome != kHttpOk) {
      m_callbacks.on_done(tl::unexpected<Error>(ReadErrorResponse()));
    } else if (m_usage) {
      m_callbacks.on_done(*m_usage);
    } else {
      m_callbacks.on_done(
          Fail(ErrorCode::kConnectionLost,
               "the engine's stream ended before its final message"));
    }
  }

 private:
  void ParseLine(std::string_view line) {
    const json message = json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!message.is_object()) return;  // Empty lines are keep-alives.
    if (message.contains("text")) {
      m_callbacks.on_chunk(EngineChunk{message.value("offset", int64_t{-1}),
                                       message.value("text", std::string())});
    } else if (message.value("done", false)) {
      m_usage = EngineUsage{message.value("chunks", int64_t{0}),
                            message.value("prompt_tokens", int64_t{0}),
                            message.value("cached_tokens", int64_t{0})};
    }
  }

  Error ReadErrorResponse() const {
    Error error{ErrorCode::kBackendFailed,
                "engine responded with HTTP status " + std::to_string(m_status),
                false,
                {}};
    const json body =
        json::parse(m_unread, nullptr, /*allow_exceptions=*/false);
    if (body.is_object() && body.contains("error")) {
      error.detail += ": " + body["error"].value("message", std::string());
      error.not_run = body["error"].value("not_run", false);
    }
    return error;
  }

  EngineCallbacks m_callbacks;
  std::string m_unread;
  std::optional<EngineUsage> m_usage;
  int m_status = 0;
};

/// Returns a call with a connection of its own. On a kept one a late copy of an
/// answer would be taken for the answer to the next call, and a call could be
/// sent twice.
http::ClientRequest MakeCall(std::string method, std::string url) {
  http::ClientRequest request;
  request.method = std::move(method);
  request.url = std::move(url);
  request.fresh_connection = true;
  return request;
}

std::string RunPath(const std::string& base_url, const AttemptId& attempt) {
  return base_url + std::string(kRunsPath) + "/" + attempt.ToString();
}

/// Returns a callback that calls `on_json` with the JSON object of a response
/// of status 200, or with an error.
auto MakeJsonHandler(std::function<void(Result<json>)> on_json) {
  return [on_json = std::move(on_json)](Result<http::ClientResponse> response) {
    if (!response) {
      on_json(tl::unexpected<Error>(response.error()));
      return;
    }
    json body = json::parse(response->body, nullptr,
                            /*allow_exceptions=*/false);
    if (response->status != kHttpOk || !body.is_object()) {
      on_json(Fail(ErrorCode::kBackendFailed,
                   "engine responded with HTTP status " +
                       std::to_string(response->status)));
      return;
    }
    on_json(std::move(body));
  };
}

Result<EngineStream> ParseStream(const json& item) {
  if (!item.is_object())
    return Fail(ErrorCode::kProtocol, "stream list entry is not an object");
  Result<AttemptId> attempt =
      ParseAttemptId(item.value("attempt", std::string()));
  if (!attempt) return tl::unexpected<Error>(attempt.error());
  EngineStream stream;
  stream.attempt = std::move(*attempt);
  stream.epoch = item.value("epoch", int64_t{0});
  stream.memory_tokens = item.value("memory_tokens", int64_t{0});
  stream.chunks = item.value("chunks", int64_t{0});
  stream.finished = item.value("finished", false);
  return stream;
}

}  // namespace

Result<AttemptId> ParseAttemptId(std::string_view text) {
  const size_t dot = text.rfind('.');
  AttemptId attempt;
  if (dot == std::string_view::npos) {
    return Fail(ErrorCode::kProtocol,
                "malformed attempt ID: " + std::string(text));
  }
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + dot + 1, end, attempt.number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(ErrorCode::kProtocol,
                "malformed attempt ID: " + std::string(text));
  }
  attempt.request = RequestId(text.substr(0, dot));
  return attempt;
}

EngineClient::EngineClient(http::Client& client, std::string base_url)
    : m_client(client), m_base_url(std::move(base_url)) {}

void EngineClient::Stream(http::ClientRequest request,
                          EngineCallbacks callbacks) {
  auto reader = std::make_shared<LineReader>(std::move(callbacks));
  request.idle_timeout = kStreamIdleTimeout;
  m_client.Start(
      std::move(request),
      {[reader](const http::ClientResponseHead& head) {
         reader->SetStatus(head.status);
       },
       [reader](std::string_view data) { reader->Append(data); },
       [reader](const Result<int>& outcome) { reader->OnDone(outcome); }});
}

void EngineClient::Run(const EngineRun& run, EngineCallbacks callbacks) {
  json head{{"attempt", run.attempt.ToString()},
            {"epoch", run.epoch},
            {"model", run.model},
            {"max_tokens", run.max_tokens},
            {"priority", run.priority}};
  http::ClientRequest request =
      MakeCall("POST", m_base_url + std::string(kRunsPath));
  request.headers = {{"Content-Type", "application/json"}};
  // The prompt is already JSON and may be large, so it is inserted without
  // parsing.
  request.body = head.dump();
  request.body.pop_back();
  request.body.reserve(request.body.size() + run.prompt_json.size() + 16);
  request.body += ",\"prompt\":";
  request.body += run.prompt_json;
  request.body += '}';
  Stream(std::move(request), std::move(callbacks));
}

void EngineClient::Resume(const AttemptId& attempt, int64_t from_offset,
                          EngineCallbacks callbacks) {
  Stream(MakeCall("GET", RunPath(m_base_url, attempt) +
                             "?from=" + std::to_string(from_offset)),
         std::move(callbacks));
}

void EngineClient::Cancel(const AttemptId& attempt,
                          std::function<void(Result<void>)> on_cancelled) {
  http::ClientRequest request =
      MakeCall("DELETE", RunPath(m_base_url, attempt));
  request.timeout = kCallTimeout;
  m_client.Fetch(
      std::move(request), [on_cancelled = std::move(on_cancelled)](
                              const Result<http::ClientResponse>& response) {
        if (!response) {
          on_cancelled(tl::unexpected<Error>(response.error()));
        } else if (response->status == kHttpOk ||
                   response->status == kHttpNotFound) {
          on_cancelled({});
        } else {
          on_cancelled(Fail(ErrorCode::kBackendFailed,
                            "engine responded to a cancel with HTTP status " +
                                std::to_string(response->status)));
        }
      });
}

void EngineClient::ListStreams(
    std::function<void(Result<std::vector<EngineStream>>)> on_streams) {
  http::ClientRequest request =
      MakeCall("GET", m_base_url + std::string(kRunsPath));
  request.timeout = kCallTimeout;
  m_client.Fetch(
      std::move(request), MakeJsonHandler([on_streams = std::move(on_streams)](
                                              const Result<json>& body) {
        if (!body) {
          on_streams(tl::unexpected<Error>(body.error()));
          return;
        }
        std::vector<EngineStream> streams;
        for (const json& item : body->value("streams", json::array())) {
          Result<EngineStream> stream = ParseStream(item);
          if (stream) streams.push_back(std::move(*stream));
        }
        on_streams(std::move(streams));
      }));
}

void EngineClient::Report(std::function<void(Result<EngineReport>)> on_report) {
  http::ClientRequest request =
      MakeCall("GET", m_base_url + "/v1/engine/report");
  request.timeout = kCallTimeout;
  m_client.Fetch(
      std::move(request), MakeJsonHandler([on_report = std::move(on_report)](
                                              const Result<json>& body) {
        if (!body) {
          on_report(tl::unexpected<Error>(body.error()));
          return;
        }
        on_report(EngineReport{body->value("memory_tokens", int64_t{0}),
                               body->value("used_tokens", int64_t{0}),
                               body->value("slots", 0),
                               body->value("used_slots", 0)});
      }));
}

}  // namespace peridotshelf::backend
