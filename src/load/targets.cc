#include "peridotshelf/load/targets.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "peridotshelf/load/sse_reader.h"

namespace peridotshelf::load {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

/// Parses a body of {"error": {...}}. Returns a protocol error if it is
/// malformed.
Error ParseErrorBody(std::string_view body) {
  const json message = json::parse(body, nullptr, /*allow_exceptions=*/false);
  Error error{
      ErrorCode::kProtocol, "the response has no error object", false, {}};
  if (!message.is_object() || !message.contains("error")) return error;
  const json& fields = message["error"];
  if (!fields.is_object()) return error;
  const auto code = ParseErrorCode(fields.value("code", std::string()));
  error.code = code.value_or(ErrorCode::kProtocol);
  error.detail = fields.value("message", std::string());
  error.not_run = fields.value("not_run", false);
  return error;
}

/// Returns the text of a completion object or of a chunk of a stream.
std::string ParseCompletionText(const json& message) {
  if (!message.is_object() || !message.contains("choices")) return {};
  const json& choices = message["choices"];
  if (!choices.is_array() || choices.empty()) return {};
  return choices[0].value("text", std::string());
}

/// Parses one response of an entry.
class AnswerReader {
 public:
  AnswerReader(bool stream, ExchangeCallbacks callbacks)
      : m_stream(stream),
        m_callbacks(std::move(callbacks)),
        m_sse_reader([this](const SseEvent& event) { OnEvent(event); }) {}

  void OnHead(const http::ClientResponseHead& head) { m_status = head.status; }

  void OnData(std::string_view data) {
    if (m_stream && m_status == kHttpOk) {
      m_sse_reader.Append(data);
    } else {
      m_body.append(data);
    }
  }

  void OnDone(const Result<int>& outcome) {
    if (!outcome) {
      m_callbacks.on_done(tl::unexpected<Error>(outcome.error()));
    } else if (m_status != kHttpOk) {
      m_callbacks.on_done(tl::unexpected<Error>(ParseErrorBody(m_body)));
    } else if (m_stream_error) {
      m_callbacks.on_done(tl::unexpected<Error>(*m_stream_error));
    } else {
      Finish();
    }
  }

 private:
  void OnEvent(const SseEvent& event) {
    if (event.type == "error") {
      m_stream_error = ParseErrorBody(event.data);
    } else if (event.data == "[DONE]") {
      m_is_complete = true;
    } else {
      OnCompletion(event.data);
    }
  }

  void OnCompletion(std::string_view data) {
    const std::string text = ParseCompletionText(
        json::parse(data, nullptr, /*allow_exceptions=*/false));
    if (!text.empty()) m_callbacks.on_text(text);
  }

  void Finish() {
    if (!m_stream) {
      OnCompletion(m_body);
      m_is_complete = true;
    }
    if (m_is_complete) {
      m_callbacks.on_done({});
    } else {
      m_callbacks.on_done(
          Fail(ErrorCode::kConnectionLost, "the stream ended without [DONE]"));
    }
  }

  bool m_stream;
  ExchangeCallbacks m_callbacks;
  SseReader m_sse_reader;
  std::string m_body;
  std::optional<Error> m_stream_error;
  int m_status = 0;
  bool m_is_complete = false;
};

}  // namespace

ClientPool::ClientPool(size_t clients) {
  for (size_t i = 0; i < clients; ++i) {
    m_clients.push_back(std::make_unique<http::Client>());
  }
}

http::Client& ClientPool::Next() {
  return *m_clients[m_next++ % m_clients.size()];
}

EntryTarget::EntryTarget(ClientPool& clients, std::vector<std::string> urls,
                         LoadRequestOptions options)
    : m_clients(clients),
      m_urls(std::move(urls)),
      m_options(std::move(options)) {}

http::ClientRequest EntryTarget::MakeRequest(const Prompt& prompt) {
  const json head{{"model", m_options.model},
                  {"max_tokens", m_options.max_tokens},
                  {"stream", m_options.stream}};
  http::ClientRequest request;
  request.method = "POST";
  request.url = m_urls[m_next++ % m_urls.size()] + "/v1/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"Peridotshelf-Timeout-Ms",
                      std::to_string(ToMilliseconds(m_options.timeout))}};
  if (!m_options.team.empty()) {
    request.headers.push_back({"Peridotshelf-Team", m_options.team});
  }
  request.body = head.dump();
  request.body.pop_back();
  request.body += ",\"prompt\":";
  request.body += prompt.json;
  request.body += '}';
  // The entry enforces the request's timeout; this one only covers an entry
  // that stops responding.
  request.timeout = m_options.timeout * 2;
  return request;
}

void EntryTarget::Send(const Prompt& prompt, ExchangeCallbacks callbacks) {
  auto reader =
      std::make_shared<AnswerReader>(m_options.stream, std::move(callbacks));
  m_clients.Next().Start(
      MakeRequest(prompt),
      {[reader](const http::ClientResponseHead& head) { reader->OnHead(head); },
       [reader](std::string_view data) { reader->OnData(data); },
       [reader](const Result<int>& outcome) { reader->OnDone(outcome); }});
}

EngineTarget::EngineTarget(ClientPool& clients, std::string url,
                           LoadRequestOptions options)
    : m_clients(clients),
      m_url(std::move(url)),
      m_options(std::move(options)) {}

void EngineTarget::Send(const Prompt& prompt,
                        const ExchangeCallbacks& callbacks) {
  backend::EngineRun run;
  run.attempt = {RequestId(MakeRandomId()), 1};
  run.model = m_options.model;
  run.prompt_json = prompt.json;
  run.max_tokens = m_options.max_tokens;
  backend::EngineClient engine(m_clients.Next(), m_url);
  engine.Run(run, {[callbacks](const backend::EngineChunk& chunk) {
                     callbacks.on_text(chunk.text);
                   },
                   [callbacks](const Result<backend::EngineUsage>& usage) {
                     if (usage) {
                       callbacks.on_done({});
                     } else {
                       callbacks.on_done(tl::unexpected<Error>(usage.error()));
                     }
                   }});
}

}  // namespace peridotshelf::load
