#include "peridotshelf/http/client.h"

#include <curl/curl.h>
#include <strings.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "client_call.h"
#include "header_text.h"
#include "peridotshelf/events/guard.h"

namespace peridotshelf::http {
namespace {

using detail::Call;
using detail::CurlLong;

constexpr int kPollMilliseconds = 100;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(100);
constexpr CurlLong kMaxIdleConnections = 512;

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
