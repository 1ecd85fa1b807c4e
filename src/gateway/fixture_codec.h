/// The messages of callers and engines in the tests of the gateway.
#pragma once

#include <stdexcept>
#include <string>

#include "peridotshelf/gateway/gateway.h"
#include "peridotshelf/http/front_server.h"

namespace peridotshelf::gateway {

using http::Header;
using http::ResponderPtr;
using http::ServerRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline void ReadEngineState(std::span<const Header> headers, AnswerHead& head) {
  head.is_leaving = http::FindHeader(headers, "Leaving").has_value();
  if (const auto pause = http::FindHeader(headers, "Pause-Ms")) {
    head.pause = milliseconds(std::stoi(std::string(*pause)));
  }
}

/// Returns a codec with header names used only in these tests.
inline MessageCodec TestCodec() {
  MessageCodec codec;
  codec.read_request = [](const ServerRequest& from) -> Result<CallerRequest> {
    CallerRequest request;
    request.id = RequestId(from.FindHeader("Id").value_or(""));
    request.method = from.method;
    request.target = from.target;
    request.path = from.path;
    request.host = "host";
    request.body = std::make_shared<const std::string>(from.body);
    request.has_body = from.has_body;
    if (const auto key = from.FindHeader("Key")) {
      request.key = std::string(*key);
    }
    if (const auto timeout = from.FindHeader("Left")) {
      request.time_left = milliseconds(std::stoi(std::string(*timeout)));
    }
    if (const auto tokens = from.FindHeader("Tokens")) {
      request.prompt = PromptSize{std::stoll(std::string(*tokens)), 100};
    }
    if (const auto after = from.FindHeader("Resume")) {
      request.resume_after = std::stoll(std::string(*after));
    }
    request.headers.push_back({"Id", request.id.value()});
    return request;
  };
  codec.write_call = [](const CallerRequest& request, const EngineCall& call) {
    if (request.target.ends_with("/throws")) throw std::runtime_error("test");
    http::ClientRequest out;
    out.method = request.method;
    out.url = "http://" + call.address;
    out.target = request.target;
    out.headers = request.headers;
    out.headers.push_back({"Team", call.team.value()});
    if (call.resume_after) {
      out.headers.push_back({"After", std::to_string(*call.resume_after)});
    }
    for (const HelperRef& helper : call.helpers) {
      out.headers.push_back({"Helper", helper.reservation});
    }
    out.shared_body = request.body;
    out.has_body = request.has_body;
    return out;
  };
  codec.read_answer = [](const http::ClientResponseHead& from,
                         const CallerRequest& request) {
    AnswerHead head;
    head.status = from.status;
    head.is_not_run = from.FindHeader("Not-Run").has_value();
    head.is_other_engine = from.FindHeader("Other-Engine").has_value();
    head.failed_address = from.FindHeader("Failed").value_or("");
    const auto id = from.FindHeader("Id");
    head.matches_request = id == request.id.value();
    head.names_another_request = id && !head.matches_request;
    head.is_signed = from.FindHeader("Signature").has_value();
    head.ends_with_connection = !from.FindHeader("Content-Length") &&
                                !from.FindHeader("Transfer-Encoding");
    head.headers = {{"Signature", "s"}};
    ReadEngineState(from.headers, head);
    if (const auto limit = from.FindHeader("Limit")) {
      head.max_requests_per_second = std::stod(std::string(*limit));
    }
    return head;
  };
  codec.read_order_answer = [](int status, std::span<const Header> headers) {
    AnswerHead head;
    head.status = status;
    ReadEngineState(headers, head);
    return head;
  };
  codec.write_identity_query = [](const std::string& address,
                                  const std::string& engine_id) {
    http::ClientRequest out;
    out.url = "http://" + address + "/identity?id=" + engine_id;
    return out;
  };
  codec.read_identity = [](const std::string& engine_id,
                           const http::ClientResponse& response) {
    EngineIdentity identity;
    const auto other = response.FindHeader("Engine");
    identity.is_other_engine = other && *other != engine_id;
    if (const auto start = response.FindHeader("Started")) {
      identity.started_unix_ms = std::stoll(std::string(*start));
    }
    return identity;
  };
  codec.write_reserve = [](const std::string& address, const std::string& id,
                           int64_t tokens, Duration /*ttl*/) {
    http::ClientRequest out;
    out.method = "POST";
    out.url = "http://" + address + "/reserve?id=" + id +
              "&tokens=" + std::to_string(tokens);
    return out;
  };
  codec.write_release = [](const std::string& address, const std::string& id) {
    http::ClientRequest out;
    out.method = "POST";
    out.url = "http://" + address + "/release?id=" + id;
    return out;
  };
  return codec;
}

}  // namespace peridotshelf::gateway
