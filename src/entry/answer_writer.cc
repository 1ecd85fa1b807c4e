#include "entry/answer_writer.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace peridotshelf::entry {
namespace {

using nlohmann::ordered_json;

std::string Dump(const ordered_json& value) {
  return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

/// What is the same in every piece of one answer.
struct Answer {
  std::string id;
  std::string model;
  int64_t created = 0;
  std::string text;
  bool streaming = false;
  http::ResponderPtr responder;

  ordered_json Piece(std::string_view piece, bool last) const {
    ordered_json choice{{"index", 0}, {"text", piece}};
    choice["finish_reason"] = last ? ordered_json("length") : ordered_json();
    return {{"id", id},
            {"object", "text_completion"},
            {"created", created},
            {"model", model},
            {"choices", ordered_json::array({choice})}};
  }
};

using AnswerPtr = std::shared_ptr<Answer>;

std::string Event(std::string_view data) {
  std::string event = "data: ";
  event += data;
  event += "\n\n";
  return event;
}

void BeginEvents(Answer& answer) {
  if (answer.streaming) return;
  answer.streaming = true;
  auto headers = IdHeaders(RequestId(answer.id));
  headers.push_back({"Content-Type", "text/event-stream"});
  headers.push_back({"Cache-Control", "no-cache"});
  answer.responder->BeginStream(200, std::move(headers));
}

ordered_json Usage(const AnswerSummary& summary) {
  return {{"prompt_tokens", summary.prompt_tokens},
          {"completion_tokens", summary.chunks},
          {"total_tokens", summary.prompt_tokens + summary.chunks},
          {"cached_tokens", summary.cached_tokens}};
}

/// Writes the pieces of one answer, which differ in their text alone.
class PieceWriter {
 public:
  explicit PieceWriter(const Answer& answer) {
    constexpr std::string_view kEmptyText = R"("text":"")";
    const std::string whole = Event(Dump(answer.Piece("", false)));
    // Quotes inside strings are escaped, so this is the field.
    const size_t end = whole.find(kEmptyText) + kEmptyText.size();
    m_before = whole.substr(0, end - 2);
    m_after = whole.substr(end);
  }
  std::string Write(std::string_view text) const {
    return m_before + Dump(text) + m_after;
  }

 private:
  std::string m_before;
  std::string m_after;
};

AnswerCallbacks MakeStreamWriter(const AnswerPtr& answer) {
  AnswerCallbacks callbacks;
  callbacks.on_chunk = [answer,
                        writer = PieceWriter(*answer)](std::string_view data) {
    BeginEvents(*answer);
    answer->responder->Write(writer.Write(data));
  };
  callbacks.on_finished = [answer](const AnswerSummary& summary) {
    BeginEvents(*answer);
    ordered_json last = answer->Piece("", true);
    last["usage"] = Usage(summary);
    answer->responder->Write(Event(Dump(last)) + Event("[DONE]"));
    answer->responder->EndStream();
  };
  callbacks.on_failed = [answer](const Error& error) {
    if (!answer->streaming) {
      http::ReplyError(*answer->responder, error,
                       IdHeaders(RequestId(answer->id)));
      return;
    }
    // Never a clean end: the caller sees a typed event and no [DONE].
    answer->responder->Write("event: error\n" + Event(http::ErrorBody(error)));
    answer->responder->EndStream();
  };
  return callbacks;
}

AnswerCallbacks MakeWholeWriter(const AnswerPtr& answer) {
  AnswerCallbacks callbacks;
  callbacks.on_chunk = [answer](std::string_view data) {
    answer->text += data;
  };
  callbacks.on_finished = [answer](const AnswerSummary& summary) {
    ordered_json body = answer->Piece(answer->text, true);
    body["usage"] = Usage(summary);
    auto headers = IdHeaders(RequestId(answer->id));
    headers.push_back({"Content-Type", "application/json"});
    answer->responder->Reply(200, std::move(headers), Dump(body));
  };
  callbacks.on_failed = [answer](const Error& error) {
    http::ReplyError(*answer->responder, error,
                     IdHeaders(RequestId(answer->id)));
  };
  return callbacks;
}

}  // namespace

std::vector<http::Header> IdHeaders(const RequestId& id) {
  return {{"Peridotshelf-Request-Id", id.value()}};
}

AnswerCallbacks MakeCompletionWriter(const CompletionRequest& request,
                                     http::ResponderPtr responder) {
  auto answer = std::make_shared<Answer>();
  answer->id = request.id.value();
  answer->model = request.model;
  answer->created = std::chrono::duration_cast<std::chrono::seconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  answer->responder = std::move(responder);
  return request.stream ? MakeStreamWriter(answer) : MakeWholeWriter(answer);
}

AnswerCallbacks MakeServiceWriter(const RequestId& id,
                                  const http::ResponderPtr& responder) {
  auto body = std::make_shared<std::string>();
  AnswerCallbacks callbacks;
  callbacks.on_chunk = [body](std::string_view data) { body->append(data); };
  callbacks.on_finished = [body, id, responder](const AnswerSummary& summary) {
    auto headers = IdHeaders(id);
    if (!summary.content_type.empty()) {
      headers.push_back({"Content-Type", summary.content_type});
    }
    responder->Reply(summary.http_status, std::move(headers), std::move(*body));
  };
  callbacks.on_failed = [id, responder](const Error& error) {
    http::ReplyError(*responder, error, IdHeaders(id));
  };
  return callbacks;
}

}  // namespace peridotshelf::entry
