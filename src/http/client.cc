#include "peridotshelf/http/client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <atomic>
#include <cctype>
#include <charconv>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "header_text.h"
#include "peridotshelf/events/guard.h"
#include "receive_windows.h"

namespace peridotshelf::http {
namespace {

// Type of libcurl's options and transfer information.
using CurlLong = long;  // NOLINT(google-runtime-int)

constexpr int kPollMilliseconds = 100;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(100);
constexpr CurlLong kMaxIdleConnections = 512;
constexpr CurlLong kBufferBytes = 64 * 1024;
/// Lower statuses are those of informational responses.
constexpr int kFirstFinalStatus = 200;

/// A call that libcurl is running.
struct Call {
  Client::CallId id = 0;
  ClientRequest request;
  ClientCallbacks callbacks;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  bool head_reported = false;
  /// Status of the head that is being received or was received last.
  int head_status = 0;
  /// The blank line after a final head was received. libcurl reports a response
  /// whose connection ended inside its head as a success.
  bool is_head_complete = false;
  std::vector<Header> response_headers;
  size_t head_bytes = 0;
  size_t body_bytes = 0;
  /// The response exceeded its limits.
  bool is_oversized = false;
  /// The head has a line that is not a header.
  bool has_malformed_header = false;
  /// The call was ended since a callback threw.
  bool has_callback_failed = false;
  detail::ReceiveWindows* windows = nullptr;
  /// The response has no body, which libcurl does not know.
  bool ends_after_head = false;
  /// Bytes sent and received, and when the number last changed.
  curl_off_t bytes = 0;
  TimePoint progressed_at = SteadyClock().Now();
};

const std::string& BodyOf(const ClientRequest& request) {
  return request.shared_body ? *request.shared_body : request.body;
}

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

/// Returns whether the call has exceeded its idle timeout, if it has one.
/// libcurl's low-speed limit takes seconds longer, since it uses an average.
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

}  // namespace

std::optional<std::string_view> FindHeader(std::span<const Header> headers,
                                           std::string_view name) {
  for (const Header& header : headers) {
    if (strncasecmp(header.name.c_str(), name.data(), name.size()) == 0 &&
        header.name.size() == name.size()) {
      return header.value;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> ClientResponseHead::FindHeader(
    std::string_view name) const {
  return http::FindHeader(headers, name);
}

std::optional<std::string_view> ClientResponse::FindHeader(
    std::string_view name) const {
  return http::FindHeader(headers, name);
}

struct Client::Impl {
  CURLM* multi = nullptr;
  std::mutex mutex;
  std::vector<std::unique_ptr<Call>> to_start;
  std::vector<CallId> to_cancel;
  std::vector<CallId> to_resume;
  std::unordered_map<CallId, std::unique_ptr<Call>> active;
  detail::ReceiveWindows windows;
  std::atomic<CallId> next_id{1};
  std::atomic<bool> stopping{false};
  std::thread thread;
  TimePoint idle_checked_at{};

  void Run();
  void Finish(CallId id, CURLcode code);
  void EndIdleCalls();
  void ProcessRequests();
  void ReapFinished();
};

void Client::Impl::ProcessRequests() {
  std::vector<std::unique_ptr<Call>> starts;
  std::vector<CallId> cancels;
  std::vector<CallId> resumes;
  {
    std::scoped_lock lock(mutex);
    starts.swap(to_start);
    cancels.swap(to_cancel);
    resumes.swap(to_resume);
  }
  for (auto& call : starts) {
    if (auto error = FindUnsendable(call->request)) {
      windows.Close(call->id);
      ReportOutcome(*call, tl::unexpected<Error>(std::move(*error)));
      continue;
    }
    call->handle = curl_easy_init();
    Configure(*call);
    curl_multi_add_handle(multi, call->handle);
    const CallId id = call->id;
    active.emplace(id, std::move(call));
  }
  for (CallId id : cancels) {
    auto it = active.find(id);
    if (it == active.end()) continue;
    windows.Close(id);
    Release(multi, *it->second);
    active.erase(it);
  }
  for (CallId id : resumes) {
    const auto it = active.find(id);
    if (it == active.end()) continue;
    // Delivers what libcurl kept. It does not end the transfer if that fails.
    const CURLcode code = curl_easy_pause(it->second->handle, CURLPAUSE_CONT);
    if (code != CURLE_OK) Finish(id, code);
  }
}

void Client::Impl::ReapFinished() {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
    if (message->msg != CURLMSG_DONE) continue;
    void* user = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
    Finish(static_cast<Call*>(user)->id, message->data.result);
  }
}

void Client::Impl::Finish(CallId id, CURLcode code) {
  auto node = active.extract(id);
  windows.Close(id);
  Call& call = *node.mapped();
  if (call.ends_after_head && call.is_head_complete) code = CURLE_OK;
  if (code == CURLE_OK && !call.is_head_complete) code = CURLE_PARTIAL_FILE;
  if (code == CURLE_OK &&
      !events::RunGuarded("http_client", [&] { ReportHead(call); })) {
    call.has_callback_failed = true;
    code = CURLE_WRITE_ERROR;
  }
  const Result<int> outcome = MakeOutcome(call, code);
  Release(multi, call);
  ReportOutcome(call, outcome);
}

void Client::Impl::EndIdleCalls() {
  const TimePoint now = SteadyClock().Now();
  if (now - idle_checked_at < kIdleCheckInterval) return;
  idle_checked_at = now;
  std::vector<CallId> idle_calls;
  for (auto& [id, call] : active) {
    if (HasIdleTimedOut(*call, now)) idle_calls.push_back(id);
  }
  for (CallId id : idle_calls) Finish(id, CURLE_OPERATION_TIMEDOUT);
}

void Client::Impl::Run() {
  while (!stopping) {
    ProcessRequests();
    int running = 0;
    curl_multi_perform(multi, &running);
    ReapFinished();
    EndIdleCalls();
    curl_multi_poll(multi, nullptr, 0, kPollMilliseconds, nullptr);
  }
}

Client::Client() : m_impl(std::make_unique<Impl>()) {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  m_impl->multi = curl_multi_init();
  curl_multi_setopt(m_impl->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  m_impl->thread = std::thread([this] { m_impl->Run(); });
}

Client::~Client() {
  m_impl->stopping = true;
  curl_multi_wakeup(m_impl->multi);
  m_impl->thread.join();
  for (auto& [id, call] : m_impl->active) Release(m_impl->multi, *call);
  curl_multi_cleanup(m_impl->multi);
}

Client::CallId Client::Start(ClientRequest request, ClientCallbacks callbacks) {
  auto call = std::make_unique<Call>();
  call->id = m_impl->next_id++;
  call->request = std::move(request);
  call->callbacks = std::move(callbacks);
  call->windows = &m_impl->windows;
  const CallId id = call->id;
  if (call->request.max_unread_bytes > 0) {
    m_impl->windows.Open(id, call->request.max_unread_bytes);
  }
  {
    std::scoped_lock lock(m_impl->mutex);
    m_impl->to_start.push_back(std::move(call));
  }
  curl_multi_wakeup(m_impl->multi);
  return id;
}

void Client::Cancel(CallId call) {
  {
    std::scoped_lock lock(m_impl->mutex);
    m_impl->to_cancel.push_back(call);
  }
  curl_multi_wakeup(m_impl->multi);
}

void Client::Consume(CallId call, size_t bytes) {
  if (!m_impl->windows.Release(call, bytes)) return;
  {
    std::scoped_lock lock(m_impl->mutex);
    m_impl->to_resume.push_back(call);
  }
  curl_multi_wakeup(m_impl->multi);
}

Client::CallId Client::Fetch(
    ClientRequest request,
    std::function<void(Result<ClientResponse>)> on_done) {
  auto response = std::make_shared<ClientResponse>();
  if (request.max_body_bytes == 0) request.max_body_bytes = kMaxFetchedBytes;
  ClientCallbacks callbacks;
  callbacks.on_head = [response](const ClientResponseHead& head) {
    response->status = head.status;
    response->content_type = head.content_type;
    response->etag = head.etag;
    response->connection = head.connection;
    response->headers = head.headers;
  };
  callbacks.on_data = [response](std::string_view data) {
    response->body.append(data);
  };
  callbacks.on_done =
      [response, on_done = std::move(on_done)](const Result<int>& outcome) {
        if (!outcome) {
          on_done(tl::unexpected<Error>(outcome.error()));
        } else {
          on_done(std::move(*response));
        }
      };
  return Start(std::move(request), std::move(callbacks));
}

Result<ClientResponse> Client::FetchAndWait(ClientRequest request) {
  auto promise = std::make_shared<std::promise<Result<ClientResponse>>>();
  auto future = promise->get_future();
  Fetch(std::move(request), [promise](Result<ClientResponse> result) {
    promise->set_value(std::move(result));
  });
  return future.get();
}

}  // namespace peridotshelf::http
