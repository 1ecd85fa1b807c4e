#include "peridotshelf/standin/log_standin.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "peridotshelf/http/server.h"

namespace peridotshelf::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// Maximum number of records in a response.
constexpr size_t kMaxPageRecords = 256;
/// A response ends with the record whose payload reaches this total.
constexpr size_t kMaxPageBytes = size_t{1} << 20;

enum class Outage { kNone, kRefuse, kHang };

/// A long poll that waits for a record at `from`.
struct Waiter {
  int64_t from = 0;
  http::ResponderPtr responder;
};

void ReplyJson(http::Responder& responder, int status, const json& body) {
  responder.Reply(status, {{"Content-Type", "application/json"}},
                  body.dump(-1, ' ', false, json::error_handler_t::replace));
}

int64_t ReadNumber(const http::ServerRequest& request, std::string_view name,
                   int64_t default_value) {
  const auto text = request.FindQuery(name);
  if (!text) return default_value;
  int64_t value = default_value;
  std::from_chars(text->data(), text->data() + text->size(), value);
  return value;
}

/// The records, the injected faults and the pending long polls.
class Store : public std::enable_shared_from_this<Store> {
 public:
  Store(io::IoThreads& threads, const LogStandinOptions& options)
      : m_threads(&threads),
        m_retention_records(options.retention_records),
        m_max_appends_per_second(options.max_appends_per_second) {}

  void Handle(const http::ServerRequest& request,
              const http::ResponderPtr& responder);

 private:
  void HandleControl(const http::ServerRequest& request,
                     http::Responder& responder);
  void Serve(const http::ServerRequest& request,
             const http::ResponderPtr& responder);
  void Append(std::string payload, http::Responder& responder);
  void Read(int64_t from, int64_t wait_ms, const http::ResponderPtr& responder);
  void EndLongPoll(const http::ResponderPtr& responder);
  void ApplyFaults(const json& faults);
  // The caller of the following functions holds the lock.
  bool TakeAppendPermit();
  void TruncateBelow(int64_t offset);
  int64_t NextOffset() const;
  json MakePage(int64_t from) const;
  json MakeReport() const;
  std::vector<Waiter> TakeReadyWaiters();

  io::IoThreads* m_threads;
  mutable std::mutex m_mutex;
  std::deque<std::string> m_records;
  int64_t m_first_offset = 1;
  std::list<Waiter> m_waiters;
  std::vector<http::ResponderPtr> m_hanging;
  Outage m_outage = Outage::kNone;
  Duration m_delay{};
  int64_t m_lose_ack_next = 0;
  size_t m_retention_records;
  int64_t m_max_appends_per_second;
  TimePoint m_second_start{};
  int64_t m_appends_this_second = 0;
  int64_t m_appends = 0;
  int64_t m_reads = 0;
  int64_t m_refused = 0;
};

void Store::Handle(const http::ServerRequest& request,
                   const http::ResponderPtr& responder) {
  if (request.path == "/control") return HandleControl(request, *responder);
  if (request.path != "/v1/log") {
    return ReplyJson(*responder, kNotFound, {{"error", "no such route"}});
  }
  Duration delay{};
  {
    std::scoped_lock lock(m_mutex);
    if (m_outage == Outage::kHang) {
      m_hanging.push_back(responder);
      return;
    }
    if (m_outage == Outage::kRefuse) {
      ++m_refused;
      return ReplyJson(*responder, kUnavailable, {{"error", "outage"}});
    }
    delay = m_delay;
  }
  if (delay == Duration::zero()) return Serve(request, responder);
  m_threads->RunAfter(delay, [self = shared_from_this(), request, responder] {
    self->Serve(request, responder);
  });
}

void Store::Serve(const http::ServerRequest& request,
                  const http::ResponderPtr& responder) {
  if (request.method == "POST") {
    return Append(std::string(request.body), *responder);
  }
  Read(ReadNumber(request, "from", 1), ReadNumber(request, "wait_ms", 0),
       responder);
}

bool Store::TakeAppendPermit() {
  if (m_max_appends_per_second <= 0) return true;
  const TimePoint now = SteadyClock().Now();
  if (now - m_second_start >= std::chrono::seconds(1)) {
    m_second_start = now;
    m_appends_this_second = 0;
  }
  return ++m_appends_this_second <= m_max_appends_per_second;
}

void Store::TruncateBelow(int64_t offset) {
  while (m_first_offset < offset && !m_records.empty()) {
    m_records.pop_front();
    ++m_first_offset;
  }
}

int64_t Store::NextOffset() const {
  return m_first_offset + static_cast<int64_t>(m_records.size());
}

void Store::Append(std::string payload, http::Responder& responder) {
  int64_t offset = 0;
  bool lose_ack = false;
  std::vector<Waiter> ready;
  std::vector<json> pages;
  {
    std::scoped_lock lock(m_mutex);
    if (!TakeAppendPermit()) {
      ++m_refused;
      return ReplyJson(responder, kTooManyRequests, {{"error", "rate limit"}});
    }
    ++m_appends;
    offset = NextOffset();
    m_records.push_back(std::move(payload));
    if (m_retention_records > 0 && m_records.size() > m_retention_records) {
      TruncateBelow(NextOffset() - static_cast<int64_t>(m_retention_records));
    }
    lose_ack = m_lose_ack_next > 0;
    if (lose_ack) --m_lose_ack_next;
    ready = TakeReadyWaiters();
    for (const Waiter& waiter : ready) pages.push_back(MakePage(waiter.from));
  }
  for (size_t i = 0; i < ready.size(); ++i) {
    ReplyJson(*ready[i].responder, kOk, pages[i]);
  }
  if (lose_ack) {
    return ReplyJson(responder, kGatewayTimeout, {{"error", "timeout"}});
  }
  ReplyJson(responder, kOk, {{"offset", offset}});
}

std::vector<Waiter> Store::TakeReadyWaiters() {
  std::vector<Waiter> ready;
  for (auto it = m_waiters.begin(); it != m_waiters.end();) {
    if (it->from >= NextOffset()) {
      ++it;
      continue;
    }
    ready.push_back(std::move(*it));
    it = m_waiters.erase(it);
  }
  return ready;
}

json Store::MakePage(int64_t from) const {
  json records = json::array();
  size_t bytes = 0;
  for (int64_t offset = std::max(from, m_first_offset);
       offset < NextOffset() && records.size() < kMaxPageRecords &&
       bytes < kMaxPageBytes;
       ++offset) {
    const std::string& payload =
        m_records[static_cast<size_t>(offset - m_first_offset)];
    bytes += payload.size();
    records.push_back({{"offset", offset}, {"payload", payload}});
  }
  return {{"first_offset", m_first_offset},
          {"next_offset", NextOffset()},
          {"records", std::move(records)}};
}

void Store::Read(int64_t from, int64_t wait_ms,
                 const http::ResponderPtr& responder) {
  json page;
  {
    std::scoped_lock lock(m_mutex);
    ++m_reads;
    if (from >= NextOffset() && wait_ms > 0) {
      m_waiters.push_back({from, responder});
    } else {
      page = MakePage(from);
    }
  }
  if (!page.is_null()) return ReplyJson(*responder, kOk, page);
  std::weak_ptr<Store> weak = weak_from_this();
  m_threads->RunAfter(std::chrono::milliseconds(wait_ms), [weak, responder] {
    if (auto self = weak.lock()) self->EndLongPoll(responder);
  });
}

void Store::EndLongPoll(const http::ResponderPtr& responder) {
  json page;
  {
    std::scoped_lock lock(m_mutex);
    const auto it = std::find_if(
        m_waiters.begin(), m_waiters.end(),
        [&](const Waiter& waiter) { return waiter.responder == responder; });
    if (it == m_waiters.end()) return;
    page = MakePage(it->from);
    m_waiters.erase(it);
  }
  ReplyJson(*responder, kOk, page);
}

json Store::MakeReport() const {
  return {{"first_offset", m_first_offset}, {"next_offset", NextOffset()},
          {"appends", m_appends},           {"reads", m_reads},
          {"refused", m_refused},           {"waiting", m_waiters.size()}};
}

void Store::ApplyFaults(const json& faults) {
  std::vector<http::ResponderPtr> released;
  {
    std::scoped_lock lock(m_mutex);
    if (faults.contains("outage")) {
      const auto name = faults.at("outage").get<std::string>();
      m_outage = name == "hang"     ? Outage::kHang
                 : name == "refuse" ? Outage::kRefuse
                                    : Outage::kNone;
      if (m_outage != Outage::kNone) {
        for (Waiter& waiter : m_waiters) m_hanging.push_back(waiter.responder);
        m_waiters.clear();
      }
      if (m_outage != Outage::kHang) released.swap(m_hanging);
    }
    m_delay = std::chrono::milliseconds(
        faults.value("delay_ms", ToMilliseconds(m_delay)));
    m_lose_ack_next = faults.value("lose_ack_next", m_lose_ack_next);
    m_retention_records =
        faults.value("retention_records", m_retention_records);
    m_max_appends_per_second =
        faults.value("max_appends_per_second", m_max_appends_per_second);
    TruncateBelow(faults.value("truncate", int64_t{0}));
  }
  for (const auto& responder : released) {
    ReplyJson(*responder, kUnavailable, {{"error", "outage"}});
  }
}

void Store::HandleControl(const http::ServerRequest& request,
                          http::Responder& responder) {
  if (request.method == "POST") {
    try {
      ApplyFaults(json::parse(request.body));
    } catch (const json::exception& e) {
      return ReplyJson(responder, kBadRequest, {{"error", e.what()}});
    }
  }
  json report;
  {
    std::scoped_lock lock(m_mutex);
    report = MakeReport();
  }
  ReplyJson(responder, kOk, report);
}

}  // namespace

struct LogStandin::Impl {
  std::shared_ptr<Store> store;
  std::unique_ptr<http::Server> server;
};

LogStandin::LogStandin(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

LogStandin::~LogStandin() = default;

Result<std::unique_ptr<LogStandin>> LogStandin::Create(
    io::IoThreads& threads, const LogStandinOptions& options) {
  auto impl = std::make_unique<Impl>();
  impl->store = std::make_shared<Store>(threads, options);
  http::ServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  auto server = http::Server::Create(
      threads, server_options,
      [store = impl->store](const http::ServerRequest& request,
                            const http::ResponderPtr& responder) {
        store->Handle(request, responder);
      });
  if (!server) return tl::unexpected<Error>(server.error());
  impl->server = std::move(*server);
  return std::unique_ptr<LogStandin>(new LogStandin(std::move(impl)));
}

}  // namespace peridotshelf::standin
