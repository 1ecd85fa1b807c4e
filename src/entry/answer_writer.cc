#include "entry/answer_writer.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace peridotshelf::entry {
namespace {

using nlohmann::ordered_json;

std::string DumpJson(const ordered_json& value) {
  return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

/// The state of one answer, with the fields common to all its chunks.
struct Answer {
  std::string id;
  std::string model;
  int64_t created = 0;
  std::string text;
  bool streaming = false;
  http::ResponderPtr responder;

  ordered_json MakeChunkJson(std::string_view chunk_text, bool last) const {
    ordered_json choice{{"index", 0}, {"text", chunk_text}};
    choice["finish_reason"] = last ? ordered_json("length") : ordered_json();
    return {{"id", id},
            {"object", "text_completion"},
            {"created", created},
            {"model", model},
            {"choices", ordered_json::array({choice})}};
  }
};

using AnswerPtr = std::shared_ptr<Answer>;

std::string FormatEvent(std::string_view data) {
  std::string event = "data: ";
  event += data;
  event += "\n\n";
  return event;
}

void BeginEventStream(Answer& answer) {
  if (answer.streaming) return;
  answer.streaming = true;
  auto headers = MakeIdHeaders(RequestId(answer.id));
  headers.push_back({"Content-Type", "text/event-stream"});
  headers.push_back({"Cache-Control", "no-cache"});
  answer.responder->BeginStream(200, std::move(headers));
}

ordered_json MakeUsageJson(const AnswerSummary& summary) {
  return {{"prompt_tokens", summary.prompt_tokens},
          {"completion_tokens", summary.chunks},
          {"total_tokens", summary.prompt_tokens + summary.chunks},
          {"cached_tokens", summary.cached_tokens}};
}

/// Formats the chunk events of one answer, which differ only in their text.
class ChunkFormatter {
 public:
  explicit ChunkFormatter(const Answer& answer) {
    constexpr std::string_view kEmptyText = R"("text":"")";
    const std::string empty_chunk =
        FormatEvent(DumpJson(answer.MakeChunkJson("", false)));
    // Quotes inside JSON strings are escaped, so only the field can match.
    const size_t end = empty_chunk.find(kEmptyText) + kEmptyText.size();
    m_prefix = empty_chunk.substr(0, end - 2);
    m_suffix = empty_chunk.substr(end);
  }
  std::string Format(std::string_view text) const {
    return m_prefix + DumpJson(text) + m_suffix;
  }

 private:
  std::string m_prefix;
  std::string m_suffix;
};

AnswerCallbacks MakeStreamWriter(const AnswerPtr& answer) {
  AnswerCallbacks callbacks;
  callbacks.on_chunk =
      [answer, formatter = ChunkFormatter(*answer)](std::string_view data) {
        BeginEventStream(*answer);
        answer->responder->Write(formatter.Format(data));
      };
  callbacks.on_finished = [answer](const AnswerSummary& summary) {
    BeginEventStream(*answer);
    ordered_json last = answer->MakeChunkJson("", true);
    last["usage"] = MakeUsageJson(summary);
    answer->responder->Write(FormatEvent(DumpJson(last)) +
                             FormatEvent("[DONE]"));
    answer->responder->EndStream();
  };
  callbacks.on_failed = [answer](const Error& error) {
    if (!answer->streaming) {
      http::ReplyError(*answer->responder, error,
                       MakeIdHeaders(RequestId(answer->id)));
      return;
    }
    // A failed stream must not look complete: it ends with a typed
    // error event and without [DONE].
    answer->responder->Write("event: error\n" +
                             FormatEvent(http::FormatErrorBody(error)));
    answer->responder->EndStream();
  };
  return callbacks;
}

AnswerCallbacks MakeJsonWriter(const AnswerPtr& answer) {
  AnswerCallbacks callbacks;
  callbacks.on_chunk = [answer](std::string_view data) {
    answer->text += data;
  };
  callbacks.on_finished = [answer](const AnswerSummary& summary) {
    ordered_json body = answer->MakeChunkJson(answer->text, true);
    body["usage"] = MakeUsageJson(summary);
    auto headers = MakeIdHeaders(RequestId(answer->id));
    headers.push_back({"Content-Type", "application/json"});
    answer->responder->Reply(200, std::move(headers), DumpJson(body));
  };
  callbacks.on_failed = [answer](const Error& error) {
    http::ReplyError(*answer->responder, error,
                     MakeIdHeaders(RequestId(answer->id)));
  };
  return callbacks;
}

}  // namespace

std::vector<http::Header> MakeIdHeaders(const RequestId& id) {
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
  return request.stream ? MakeStreamWriter(answer) : MakeJsonWriter(answer);
}

AnswerCallbacks MakeServiceWriter(const RequestId& id,
                                  const http::ResponderPtr& responder) {
  auto body = std::make_shared<std::string>();
  AnswerCallbacks callbacks;
  callbacks.on_chunk = [body](std::string_view data) { body->append(data); };
  callbacks.on_finished = [body, id, responder](const AnswerSummary& summary) {
    auto headers = MakeIdHeaders(id);
    if (!summary.content_type.empty()) {
      headers.push_back({"Content-Type", summary.content_type});
    }
    responder->Reply(summary.http_status, std::move(headers), std::move(*body));
  };
  callbacks.on_failed = [id, responder](const Error& error) {
    http::ReplyError(*responder, error, MakeIdHeaders(id));
  };
  return callbacks;
}

}  // namespace peridotshelf::entry
