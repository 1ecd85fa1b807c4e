/// Requests and responses in the gateway's own types, and the codec that
/// converts them from and to the deployment's HTTP messages.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::gateway {

/// Prompt length and the limit on the output length.
struct PromptSize {
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
};

/// A request as received from its caller.
struct CallerRequest {
  RequestId id;
  std::string method;
  std::string target;
  std::string host;
  std::string path;
  /// Headers that are forwarded to the engine unchanged.
  std::vector<http::Header> headers;
  std::shared_ptr<const std::string> body;
  /// The caller announced a body, which may be empty.
  bool has_body = false;
  /// How long the caller will wait; none if not stated.
  std::optional<Duration> time_left;
  /// Access key of the caller's team.
  std::optional<std::string> key;
  std::optional<PromptSize> prompt;
  /// Ids of the parts that the prompt shares with other requests, in their
  /// order; empty if not stated.
  std::vector<std::string> shared_prompt_parts;
  /// The caller's estimate of the output length.
  std::optional<int64_t> expected_output_tokens;
  /// Number of the last event that the caller received from an interrupted
  /// stream.
  std::optional<int64_t> resume_after;
};

/// A helper engine, which runs a prefill shard.
struct HelperRef {
  std::string address;
  /// Id of the memory reservation at the engine; empty if none.
  std::string reservation;
};

/// One request sent to one engine.
struct EngineCall {
  std::string address;
  std::string engine_id;
  TeamId team;
  Duration time_left{};
  std::optional<int64_t> resume_after;
  std::vector<HelperRef> helpers;
};

/// Status and headers of an engine's response.
struct AnswerHead {
  int status = 0;
  /// Headers that are forwarded to the caller unchanged.
  std::vector<http::Header> headers;
  /// The engine guarantees that the request has not run and never will.
  bool is_not_run = false;
  /// A different engine now uses the address.
  bool is_other_engine = false;
  /// Address of the engine that caused the failure, which may be a helper;
  /// empty if not stated.
  std::string failed_address;
  /// Requests per second that the engine accepts from all entries together, if
  /// it states a limit.
  std::optional<double> max_requests_per_second;
  /// The body has neither a length nor chunks, so the end of the connection is
  /// its end. False if the response has no body.
  bool ends_with_connection = false;
  /// The headers that should tell where the body ends contradict each other.
  bool has_invalid_framing = false;
  /// How long the engine, which rejected the request, wants no others from this
  /// entry.
  std::optional<Duration> pause;
  /// The stated pause is malformed.
  bool has_invalid_pause = false;
  /// The engine leaves and wants no further requests.
  bool is_leaving = false;
  /// The stated limit is malformed.
  bool has_invalid_limit = false;
  /// The response carries the id of the request.
  bool matches_request = false;
  /// The response carries the id of another request, so that it says nothing of
  /// this one.
  bool names_another_request = false;
  /// The response carries the engine's signature.
  bool is_signed = false;
  /// The body has a content encoding, which engines do not use.
  bool is_encoded = false;
};

/// What the process that answers at an engine's address says of itself.
struct EngineIdentity {
  /// It belongs to another engine.
  bool is_other_engine = false;
  /// When the process started, as Unix time in ms; none if not stated.
  std::optional<int64_t> started_unix_ms;
};

/// Converts between the gateway's types and the deployment's HTTP messages.
struct MessageCodec {
  /// Returns `kInvalidField` if a header that the gateway needs is malformed.
  std::function<Result<CallerRequest>(const http::ServerRequest&)> read_request;
  std::function<http::ClientRequest(const CallerRequest&, const EngineCall&)>
      write_call;
  std::function<AnswerHead(const http::ClientResponseHead&,
                           const CallerRequest&)>
      read_answer;
  /// Reads what an engine says of itself in the answer to a reservation.
  std::function<AnswerHead(int status, std::span<const http::Header>)>
      read_order_answer;
  /// Creates a request, which no engine runs, to the engine `engine_id` at
  /// `address`, whose answer says which process answers.
  std::function<http::ClientRequest(const std::string& address,
                                    const std::string& engine_id)>
      write_identity_query;
  /// Reads the answer to the identity query for `engine_id`.
  std::function<EngineIdentity(const std::string& engine_id,
                               const http::ClientResponse& response)>
      read_identity;
  /// Creates a request that reserves memory at the engine at `address` under
  /// `id`, or extends the reservation.
  std::function<http::ClientRequest(const std::string& address,
                                    const std::string& id, int64_t tokens,
                                    Duration ttl)>
      write_reserve;
  /// Creates a request that releases reserved memory.
  std::function<http::ClientRequest(const std::string& address,
                                    const std::string& id)>
      write_release;
};

/// Returns the number in the `id:` line of one complete event; none if it does
/// not have exactly one such line with a decimal number.
std::optional<int64_t> ParseEventNumber(std::string_view event);

/// Returns whether the type of one complete event is `error`.
bool IsErrorEvent(std::string_view event);

/// Splits a stream of server-sent events into complete events, which end with a
/// blank line.
class EventSplitter {
 public:
  /// Adds bytes and returns the events that they complete.
  std::vector<std::string> Feed(std::string_view bytes);
  /// Returns whether bytes of an incomplete event remain.
  bool HasIncompleteEvent() const { return !m_incomplete.empty(); }
  /// Size of the incomplete event.
  size_t incomplete_bytes() const { return m_incomplete.size(); }

 private:
  std::string m_incomplete;
};

}  // namespace peridotshelf::gateway
