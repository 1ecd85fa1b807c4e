/// Requests and answers in the gateway's own terms, and the codec that reads
/// and writes them as the deployment spells them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::gateway {

/// How large a prompt is and how long its answer may be.
struct PromptSize {
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
};

/// A request as its caller sent it.
struct CallerRequest {
  RequestId id;
  std::string method;
  std::string target;
  std::string host;
  std::string path;
  /// Those that go on to the engine unchanged.
  std::vector<http::Header> headers;
  std::shared_ptr<const std::string> body;
  /// How long the caller will wait.
  std::optional<Duration> time_left;
  /// The key of the caller's team.
  std::optional<std::string> key;
  std::optional<PromptSize> prompt;
  /// The caller's guess of the output's length.
  std::optional<int64_t> expected_output_tokens;
  /// The last event that the caller has of a stream that broke off.
  std::optional<int64_t> resume_after;
};

/// An engine that reads a part of a prompt.
struct HelperRef {
  std::string address;
  /// The memory reserved there; empty if none is.
  std::string reservation;
};

/// One request to one engine.
struct EngineCall {
  std::string address;
  std::string engine_id;
  TeamId team;
  Duration time_left{};
  std::optional<int64_t> resume_after;
  std::vector<HelperRef> helpers;
};

/// What an engine's answer began with.
struct AnswerHead {
  int status = 0;
  /// Those that go on to the caller unchanged.
  std::vector<http::Header> headers;
  /// The engine says that the request has not run and never will.
  bool is_not_run = false;
  /// Another engine has the address.
  bool is_other_engine = false;
  /// The answer names the request that it belongs to.
  bool names_request = false;
  /// The answer carries the engine's signature.
  bool is_signed = false;
  /// The body is encoded, which engines do not do.
  bool is_encoded = false;
};

/// How the deployment spells what the gateway says.
struct MessageCodec {
  /// kBadField if a header that the gateway needs is malformed.
  std::function<Result<CallerRequest>(const http::ServerRequest&)> read_request;
  std::function<http::ClientRequest(const CallerRequest&, const EngineCall&)>
      write_call;
  std::function<AnswerHead(const http::ClientResponseHead&,
                           const CallerRequest&)>
      read_answer;
  /// Asks the engine at `address` to set memory aside under `id`, or to keep it
  /// for longer.
  std::function<http::ClientRequest(const std::string& address,
                                    const std::string& id, int64_t tokens,
                                    Duration hold)>
      write_reserve;
  /// Gives reserved memory back.
  std::function<http::ClientRequest(const std::string& address,
                                    const std::string& id)>
      write_release;
};

/// The number in an `id:` line of one whole event, if it has one.
std::optional<int64_t> EventNumber(std::string_view event);

/// Cuts a stream of server-sent events into whole events, which end with a
/// blank line.
class EventSplitter {
 public:
  /// Adds bytes; yields the events that they complete.
  std::vector<std::string> Feed(std::string_view bytes);
  /// Whether bytes of an incomplete event are left.
  bool HasRest() const { return !m_rest.empty(); }

 private:
  std::string m_rest;
};

}  // namespace peridotshelf::gateway
