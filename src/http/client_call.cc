#include "client_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cctype>
#include <charconv>
#include <string>
#include <utility>

#include "header_text.h"
#include "peridotshelf/events/guard.h"

namespace peridotshelf::http::detail {
namespace {

constexpr CurlLong kBufferBytes = 64 * 1024;
/// Lower statuses are those of informational responses.
constexpr int kFirstFinalStatus = 200;

const std::string& BodyOf(const ClientRequest& request) {
  return request.shared_body ? *request.shared_body : request.body;
}

/// Returns the status of a status line; 0 if it has none.
int ParseStatus(std::string_view line) {
  const size_t space = line.find(' ');
  if (space == std::string_view::npos) return 0;
  int status = 0;
  line.remove_prefix(space + 1);
  std::from_chars(line.data(), line.data() + line.size(), status);
  return status;
}

/// Collects the headers. A new status line starts another response, as after an
/// informational one. Lines after a final head are trailers, which are not
/// headers.
size_t ReadHeaderLine(Call* call, const char* data, size_t bytes) {
  call->head_bytes += bytes;
  if (call->head_bytes > call->request.max_head_bytes) {
    call->is_oversized = true;
    return CURL_WRITEFUNC_ERROR;
  }
  if (call->is_head_complete) return bytes;
  std::string_view line(data, bytes);
  if (line.starts_with("HTTP/")) {
    call->response_headers.clear();
    call->head_status = ParseStatus(line);
    return bytes;
  }
  while (!line.empty() &&
         std::isspace(static_cast<unsigned char>(line.back()))) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    call->is_head_complete = call->head_status >= kFirstFinalStatus;
    const bool is_end = call->is_head_complete && call->ends_after_head;
    return is_end ? CURL_WRITEFUNC_ERROR : bytes;
  }
  const size_t colon = line.find(':');
  // A line that begins with a space continues the one before (obs-fold).
  const bool is_continuation = line.front() == ' ' || line.front() == '\t';
  if (colon == std::string_view::npos && !is_continuation) return bytes;
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  const std::string_view name = line.substr(0, colon);
  if (!IsHeaderName(name) || !IsHeaderValue(value)) {
    call->has_malformed_header = true;
    return CURL_WRITEFUNC_ERROR;
  }
  call->response_headers.push_back({std::string(name), std::string(value)});
  return bytes;
}

/// Runs a callback of libcurl, through which no exception may pass. One that
/// throws ends its call.
template <class Work>
size_t RunCallback(Call* call, Work&& work) {
  size_t taken = CURL_WRITEFUNC_ERROR;
  call->has_callback_failed =
      !events::RunGuarded("http_client", [&] { taken = work(); });
  return taken;
}

size_t OnHeaderLine(char* data, size_t size, size_t count, void* user) {
  auto* call = static_cast<Call*>(user);
  return RunCallback(call,
                     [&] { return ReadHeaderLine(call, data, size * count); });
}

size_t ReadBytes(Call* call, const char* data, size_t bytes) {
  // libcurl keeps the bytes and delivers them again.
  if (!call->windows->TryDeliver(call->id, bytes)) return CURL_WRITEFUNC_PAUSE;
  call->body_bytes += bytes;
  if (call->request.max_body_bytes > 0 &&
      call->body_bytes > call->request.max_body_bytes) {
    call->is_oversized = true;
    return CURL_WRITEFUNC_ERROR;
  }
  ReportHead(*call);
  if (call->callbacks.on_data) {
    call->callbacks.on_data(std::string_view(data, bytes));
  }
  return bytes;
}

size_t OnBytes(char* data, size_t size, size_t count, void* user) {
  auto* call = static_cast<Call*>(user);
  return RunCallback(call, [&] { return ReadBytes(call, data, size * count); });
}

/// TCP keep-alive probes detect unresponsive connections: the first probe is
/// sent after this idle time, later ones at this interval, in seconds.
constexpr CurlLong kKeepAliveSeconds = 1;
/// TCP_USER_TIMEOUT: a connection is closed when sent data stays unacknowledged
/// for this long, in ms.
constexpr int kUserTimeoutMs = 2500;
/// Unanswered probes after which a connection is closed.
constexpr int kKeepAliveProbes = 2;

int OnSocket(void* /*user*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  return CURL_SOCKOPT_OK;
}

CurlLong ToCurlMillis(Duration span) {
  return static_cast<CurlLong>(ToMilliseconds(span));
}

/// Keeps libcurl from adding headers that the request does not have.
void SuppressDefaultHeaders(Call& call) {
  for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
    if (FindHeader(call.request.headers, name)) continue;
    call.headers =
        curl_slist_append(call.headers, (std::string(name) + ":").c_str());
  }
}

/// Returns whether a request without a body states that its length is 0.
bool StatesEmptyBody(const ClientRequest& request) {
  return request.has_body || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

/// libcurl derives the method from the kind of body, so the method is always
/// named.
void ConfigureMethodAndBody(Call& call) {
  CURL* handle = call.handle;
  const ClientRequest& request = call.request;
  const std::string& body = BodyOf(request);
  if (!body.empty() || StatesEmptyBody(request)) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
    // CURLOPT_NOBODY would remove the body of the request, too.
    call.ends_after_head = request.method == "HEAD";
  } else if (request.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

}  // namespace

void ReportHead(Call& call) {
  if (call.head_reported) return;
  call.head_reported = true;
  if (!call.callbacks.on_head) return;
  CurlLong status = 0;
  const char* type = nullptr;
  curl_easy_getinfo(call.handle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(call.handle, CURLINFO_CONTENT_TYPE, &type);
  ClientResponseHead head;
  head.status = static_cast<int>(status);
  if (type != nullptr) head.content_type = type;
  CurlLong local_port = 0;
  CurlLong new_connections = 0;
  curl_easy_getinfo(call.handle, CURLINFO_LOCAL_PORT, &local_port);
  curl_easy_getinfo(call.handle, CURLINFO_NUM_CONNECTS, &new_connections);
  head.connection = {static_cast<uint16_t>(local_port), new_connections == 0};
  curl_header* etag = nullptr;
  constexpr int kLastRequest = -1;
  if (curl_easy_header(call.handle, "ETag", 0, CURLH_HEADER, kLastRequest,
                       &etag) == CURLHE_OK) {
    head.etag = etag->value;
  }
  head.headers = std::move(call.response_headers);
  call.callbacks.on_head(head);
}

void Configure(Call& call) {
  CURL* handle = call.handle;
  const ClientRequest& request = call.request;
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &call);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kBufferBytes);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   ToCurlMillis(request.connect_timeout));
  if (request.timeout > Duration::zero()) {
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, ToCurlMillis(request.timeout));
  }
  if (request.fresh_connection) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!request.target.empty()) {
    curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, request.target.c_str());
  }
  ConfigureMethodAndBody(call);
  if (request.exact_headers) SuppressDefaultHeaders(call);
  // Without this libcurl waits for "100 Continue" before large bodies.
  call.headers = curl_slist_append(call.headers, "Expect:");
  for (const Header& header : request.headers) {
    // libcurl interprets "Name:" as a request to omit the header.
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    call.headers = curl_slist_append(call.headers, line.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call.headers);
}

void Release(CURLM* multi, Call& call) {
  curl_multi_remove_handle(multi, call.handle);
  curl_easy_cleanup(call.handle);
  curl_slist_free_all(call.headers);
}

Result<int> MakeOutcome(Call& call, CURLcode code) {
  CurlLong status = 0;
  curl_easy_getinfo(call.handle, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK) return static_cast<int>(status);
  Error error;
  error.code = code == CURLE_OPERATION_TIMEDOUT ? ErrorCode::kDeadlineExceeded
                                                : ErrorCode::kConnectionLost;
  error.detail = curl_easy_strerror(code);
  if (call.is_oversized) {
    error.code = ErrorCode::kProtocol;
    error.detail = "response too large after " +
                   std::to_string(call.head_bytes) + " bytes of head and " +
                   std::to_string(call.body_bytes) + " bytes of body";
  }
  if (call.has_malformed_header) {
    error.detail = "the response has a header that HTTP does not allow";
  }
  if (call.has_callback_failed) error.detail = "the response was not processed";
  curl_off_t request_bytes = 0;
  CurlLong sent = 0;
  curl_easy_getinfo(call.handle, CURLINFO_REQUEST_SIZE, &sent);
  curl_easy_getinfo(call.handle, CURLINFO_SIZE_UPLOAD_T, &request_bytes);
  error.not_run = sent == 0 && request_bytes == 0;
  return tl::unexpected<Error>(std::move(error));
}

void ReportOutcome(const Call& call, const Result<int>& outcome) {
  if (!call.callbacks.on_done) return;
  // Nobody is left to tell of it: the line and its counter do.
  (void)events::RunGuarded("http_client",
                           [&] { call.callbacks.on_done(outcome); });
}

bool HasIdleTimedOut(Call& call, TimePoint now) {
  if (call.request.idle_timeout <= Duration::zero()) return false;
  curl_off_t sent = 0;
  curl_off_t received = 0;
  curl_easy_getinfo(call.handle, CURLINFO_SIZE_UPLOAD_T, &sent);
  curl_easy_getinfo(call.handle, CURLINFO_SIZE_DOWNLOAD_T, &received);
  if (sent + received != call.bytes) {
    call.bytes = sent + received;
    call.progressed_at = now;
  }
  return now - call.progressed_at > call.request.idle_timeout;
}

}  // namespace peridotshelf::http::detail
