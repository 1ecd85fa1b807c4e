#include "entry/explain.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace peridotshelf::entry {
namespace {

using nlohmann::ordered_json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

ordered_json ToJson(const attempts::TraceStep& step) {
  ordered_json out{{"at_ms", ToMilliseconds(step.at)},
                   {"step", attempts::ToString(step.kind)}};
  if (step.attempt >= 0) out["attempt"] = step.attempt;
  if (!step.engine.empty()) out["engine"] = step.engine.value();
  if (step.code) out["code"] = ToString(*step.code);
  if (!step.detail.empty()) out["detail"] = step.detail;
  return out;
}

std::string ToJson(const attempts::RequestTrace& trace) {
  ordered_json steps = ordered_json::array();
  for (const attempts::TraceStep& step : trace.steps) {
    steps.push_back(ToJson(step));
  }
  ordered_json out;
  out["request"] = trace.request.value();
  out["service"] = trace.service;
  out["steps"] = std::move(steps);
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace

void ReplyExplain(const http::ServerRequest& request,
                  http::Responder& responder, const Dispatcher& dispatcher) {
  const RequestId id{request.path.substr(kExplainPath.size())};
  const auto trace = dispatcher.FindTrace(id);
  if (!trace) {
    const ordered_json body{
        {"error", {{"code", "unknown_request"}, {"message", id.value()}}}};
    responder.Reply(
        kHttpNotFound, {{"Content-Type", "application/json"}},
        body.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
  } else if (request.FindQuery("format") == "text") {
    responder.Reply(kHttpOk, {{"Content-Type", "text/plain"}},
                    attempts::FormatTrace(*trace));
  } else {
    responder.Reply(kHttpOk, {{"Content-Type", "application/json"}},
                    ToJson(*trace));
  }
}

}  // namespace peridotshelf::entry
