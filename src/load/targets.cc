#include "peridotshelf/load/targets.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "peridotshelf/load/sse_reader.h"

namespace peridotshelf::load {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

/// The error that a body of {"error": {...}} tells of.
Error ReadError(std::string_view body) {
  const json message = json::parse(body, nullptr, /*allow_exceptions=*/false);
  Error error{ErrorCode::kProtocol, "not an error object", false, {}};
  if (!message.is_object() || !message.contains("error")) return error;
  const json& fields = message["error"];
  if (!fields.is_object()) return error;
  const auto code = ParseErrorCode(fields.value("code", std::string()));
  error.code = code.value_or(ErrorCode::kProtocol);
  error.detail = fields.value("message", std::string());
  error.not_run = fields.value("not_run", false);
  return error;
}

/// The text of one completion object, streamed or whole.
std::string ReadText(const json& message) {
  if (!message.is_object() || !message.contains("choices")) return {};
  const json& choices = message["choices"];
  if (!choices.is_array() || choices.empty()) return {};
  return choices[0].value("text", std::string());
}

/// Follows one answer of an entry.
class AnswerReader {
 public:
  AnswerReader(bool stream, ExchangeCallbacks callbacks)
      : m_stream(stream),
        m_callbacks(std::move(callbacks)),
        m_events([this](const SseEvent& event) { OnEvent(event); }) {}

  void OnHead(const http::ClientResponseHead& head) { m_status = head.status; }

  void OnData(std::string_view data) {
    if (m_stream && m_status == kHttpOk) {
      m_events.Append(data);
    } else {
      m_body.append(data);
    }
  }

  void OnDone(const Result<int>& outcome) {
    if (!outcome) {
      m_callbacks.on_done(tl::unexpected<Error>(outcome.error()));
    } else if (m_status != kHttpOk) {
      m_callbacks.on_done(tl::unexpected<Error>(ReadError(m_body)));
    } else if (m_failure) {
      m_callbacks.on_done(tl::unexpected<Error>(*m_failure));
    } else {
      Finish();
    }
  }

 private:
  void OnEvent(const SseEvent& event) {
    if (event.type == "error") {
      m_failure = ReadError(event.data);
    } else if (event.data == "[DONE]") {
      m_done = true;
    } else {
      OnMessage(event.data);
    }
  }

  void OnMessage(std::string_view data) {
    const std::string text =
        ReadText(json::parse(data, nullptr, /*allow_exceptions=*/false));
    if (!text.empty()) m_callbacks.on_text(text);
  }

  void Finish() {
    if (!m_stream) {
      OnMessage(m_body);
      m_done = true;
    }
    if (m_done) {
      m_callbacks.on_done({});
    } else {
      m_callbacks.on_done(
          Fail(ErrorCode::kConnectionLost, "the stream ended without [DONE]"));
    }
  }

  bool m_stream;
  ExchangeCallbacks m_callbacks;
  SseReader m_events;
  std::string m_body;
  std::optional<Error> m_failure;
  int m_status = 0;
  bool m_done = false;
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
                         RequestTerms terms)
    : m_clients(clients), m_urls(std::move(urls)), m_terms(std::move(terms)) {}

http::ClientRequest EntryTarget::MakeRequest(const Prompt& prompt) {
  const json head{{"model", m_terms.model},
                  {"max_tokens", m_terms.max_tokens},
                  {"stream", m_terms.stream}};
  http::ClientRequest request;
  request.method = "POST";
  request.url = m_urls[m_next++ % m_urls.size()] + "/v1/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"Peridotshelf-Timeout-Ms",
                      std::to_string(ToMilliseconds(m_terms.timeout))}};
  if (!m_terms.team.empty()) {
    request.headers.push_back({"Peridotshelf-Team", m_terms.team});
  }
  request.body = head.dump();
  request.body.pop_back();
  request.body += ",\"prompt\":";
  request.body += prompt.json;
  request.body += '}';
  // The entry ends a request in its time; this only bounds a lost entry.
  request.timeout = m_terms.timeout * 2;
  return request;
}

void EntryTarget::Send(const Prompt& prompt, ExchangeCallbacks callbacks) {
  auto reader =
      std::make_shared<AnswerReader>(m_terms.stream, std::move(callbacks));
  m_clients.Next().Start(
      MakeRequest(prompt),
      {[reader](const http::ClientResponseHead& head) { reader->OnHead(head); },
       [reader](std::string_view data) { reader->OnData(data); },
       [reader](const Result<int>& outcome) { reader->OnDone(outcome); }});
}

EngineTarget::EngineTarget(ClientPool& clients, std::string url,
                           RequestTerms terms)
    : m_clients(clients), m_url(std::move(url)), m_terms(std::move(terms)) {}

void EngineTarget::Send(const Prompt& prompt,
                        const ExchangeCallbacks& callbacks) {
  backend::EngineRun run;
  run.attempt = {RequestId(MakeRandomId()), 1};
  run.model = m_terms.model;
  run.prompt_json = prompt.json;
  run.max_tokens = m_terms.max_tokens;
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
