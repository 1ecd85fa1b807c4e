// Tests the simulated log and host list with the production clients.
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>

#include "control/test_records.h"
#include "peridotshelf/control/follower.h"
#include "peridotshelf/platform/host_list.h"
#include "peridotshelf/platform/log_client.h"
#include "peridotshelf/standin/hosts_standin.h"
#include "peridotshelf/standin/log_standin.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const uint16_t kLogPort = testing::FindFreePort();
const uint16_t kHostsPort = testing::FindFreePort();
const std::string kLogUrl = "http://127.0.0.1:" + std::to_string(kLogPort);
const std::string kHostsUrl = "http://127.0.0.1:" + std::to_string(kHostsPort);

/// Waits for the value that is passed to a callback.
template <class T>
class CallbackValue {
 public:
  std::function<void(T)> Callback() {
    return [promise = m_promise](T value) {
      promise->set_value(std::move(value));
    };
  }
  T Get() { return m_promise->get_future().get(); }

 private:
  std::shared_ptr<std::promise<T>> m_promise =
      std::make_shared<std::promise<T>>();
};

class PlatformStandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformStandinTest);
  CPPUNIT_TEST(Append_ThenRead_ReturnsRecord);
  CPPUNIT_TEST(Read_NoRecordYet_ReturnsNextAppend);
  CPPUNIT_TEST(Append_AcknowledgementLost_IsUncertainButStored);
  CPPUNIT_TEST(Append_OverRate_IsRefusedAsNotRun);
  CPPUNIT_TEST(Read_DuringOutage_IsUnavailable);
  CPPUNIT_TEST(Retention_Exceeded_MovesFirstOffset);
  CPPUNIT_TEST(Follower_OutageAndChange_PublishesInOrder);
  CPPUNIT_TEST(Hosts_Changed_AreListedAfterLag);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    LogStandinOptions options;
    options.port = kLogPort;
    m_threads.emplace(2);
    m_http.emplace();
    m_client.emplace(kLogUrl, *m_http);
    m_log = std::move(LogStandin::Create(*m_threads, options).value());
  }
  // CppUnit destroys fixtures only after all tests, so the port is freed here.
  void tearDown() override {
    m_http.reset();
    m_log.reset();
    m_threads.reset();
  }

  void Append_ThenRead_ReturnsRecord() {
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, Append("a\"\n").value());
    const platform::LogPage page = Read(1).value();
    CPPUNIT_ASSERT_EQUAL(std::string("a\"\n"), page.records.at(0).payload);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, page.next_offset);
  }
  void Read_NoRecordYet_ReturnsNextAppend() {
    CallbackValue<Result<platform::LogPage>> page;
    m_client->Read(1, seconds(20), page.Callback());
    Append("a");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, page.Get().value().records.size());
    CPPUNIT_ASSERT(Read(2).value().records.empty());
  }
  void Append_AcknowledgementLost_IsUncertainButStored() {
    Control(kLogUrl, R"({"lose_ack_next":1})");
    const Result<int64_t> lost = Append("a");
    CPPUNIT_ASSERT(lost.error().code == ErrorCode::kPlatformUnavailable);
    CPPUNIT_ASSERT(!lost.error().not_run);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, Append("b").value());
  }
  void Append_OverRate_IsRefusedAsNotRun() {
    Control(kLogUrl, R"({"max_appends_per_second":1})");
    bool refused = false;
    int64_t stored = 0;
    // The second append in one second exceeds the limit. A third covers the
    // case that a new second begins between the first two.
    for (int i = 0; i < 3; ++i) {
      const Result<int64_t> appended = Append("a");
      refused = refused || (!appended && appended.error().not_run);
      stored += appended ? 1 : 0;
    }
    CPPUNIT_ASSERT(refused);
    CPPUNIT_ASSERT_EQUAL(stored + 1, Read(1).value().next_offset);
  }
  void Read_DuringOutage_IsUnavailable() {
    Control(kLogUrl, R"({"outage":"refuse"})");
    CPPUNIT_ASSERT(Read(1).error().code == ErrorCode::kPlatformUnavailable);
    Control(kLogUrl, R"({"outage":"hang"})");
    CallbackValue<Result<platform::LogPage>> hung;
    m_client->Read(1, milliseconds(0), hung.Callback());
    CPPUNIT_ASSERT(hung.Get().error().code == ErrorCode::kPlatformUnavailable);
    Control(kLogUrl, R"({"outage":"none"})");
    CPPUNIT_ASSERT(Read(1).has_value());
  }
  void Retention_Exceeded_MovesFirstOffset() {
    Control(kLogUrl, R"({"retention_records":2})");
    for (int i = 0; i < 5; ++i) Append("a");
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, Read(1).value().first_offset);
    Control(kLogUrl, R"({"truncate":6})");
    CPPUNIT_ASSERT_EQUAL(int64_t{6}, Read(1).value().first_offset);
    CPPUNIT_ASSERT_EQUAL(int64_t{6}, Read(1).value().next_offset);
  }
  void Follower_OutageAndChange_PublishesInOrder() {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<ControlVersion> versions;
    control::FollowerCallbacks callbacks;
    callbacks.on_change = [&](const control::ControlStatePtr& state) {
      std::scoped_lock lock(mutex);
      versions.push_back(state->version);
      changed.notify_all();
    };
    control::Follower<platform::HttpLogClient> follower(*m_threads, *m_client,
                                                        {}, callbacks);
    const auto wait_for = [&](size_t count) {
      std::unique_lock lock(mutex);
      return changed.wait_for(lock, seconds(20),
                              [&] { return versions.size() >= count; });
    };
    Append(control::MakeConfigChange("c1", 0));
    Control(kLogUrl, R"({"outage":"refuse"})");
    follower.Start();
    Control(kLogUrl, R"({"outage":"none"})");
    CPPUNIT_ASSERT(wait_for(1));
    Append(control::MakePresetChange("c2", 1, "peak"));
    CPPUNIT_ASSERT(wait_for(2));
    CPPUNIT_ASSERT(versions == (std::vector<ControlVersion>{1, 2}));
    CPPUNIT_ASSERT_EQUAL(std::string("peak"), follower.Current()->preset);
  }
  void Hosts_Changed_AreListedAfterLag() {
    HostsStandinOptions options;
    options.port = kHostsPort;
    auto host_list =
        std::move(HostsStandin::Create(*m_threads, options).value());
    const std::string host_json =
        R"({"host":"h1","role":"side","state":"live","address":"127.0.0.1",)"
        R"("port":7,"failure_domain":"north"})";
    Post(std::string(kHostsUrl) + "/v1/hosts",
         R"({"hosts":[)" + host_json + "]}");
    const platform::HostEntry expected = {HostId("h1"),
                                          platform::HostRole::kSide,
                                          platform::HostState::kLive,
                                          "127.0.0.1",
                                          7,
                                          FailureDomain("north")};
    CPPUNIT_ASSERT(Hosts() == std::vector<platform::HostEntry>{expected});
    Control(kHostsUrl, R"({"lag_ms":3600000})");
    Post(std::string(kHostsUrl) + "/v1/hosts",
         R"({"host":"h1","state":"gone"})");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Hosts().size());
    Control(kHostsUrl, R"({"lag_ms":0})");
    CPPUNIT_ASSERT(Hosts().empty());
  }

 private:
  Result<int64_t> Append(const std::string& payload) {
    CallbackValue<Result<int64_t>> offset;
    m_client->Append(payload, offset.Callback());
    return offset.Get();
  }
  Result<platform::LogPage> Read(int64_t from) {
    CallbackValue<Result<platform::LogPage>> page;
    m_client->Read(from, milliseconds(0), page.Callback());
    return page.Get();
  }
  std::vector<platform::HostEntry> Hosts() {
    CallbackValue<Result<std::vector<platform::HostEntry>>> hosts;
    platform::HttpHostList(kHostsUrl, *m_http).Fetch(hosts.Callback());
    return hosts.Get().value();
  }
  void Control(const std::string& url, const std::string& body) {
    Post(url + "/control", body);
  }
  void Post(const std::string& url, const std::string& body) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = url;
    request.body = body;
    CPPUNIT_ASSERT_EQUAL(200, m_http->FetchAndWait(request).value().status);
  }

  std::optional<io::IoThreads> m_threads;
  std::optional<http::Client> m_http;
  std::optional<platform::HttpLogClient> m_client;
  std::unique_ptr<LogStandin> m_log;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStandinTest);

}  // namespace
}  // namespace peridotshelf::standin
