#include <atomic>
#include <future>

#include "peridotshelf/platform/host_list.h"
#include "peridotshelf/platform/log_client.h"
#include "peridotshelf/testing/raw_server.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::platform {
namespace {

using testing::RawConnection;
using testing::RawServer;

std::string MakeAnswer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string MakeHosts(const std::string& host) {
  return MakeAnswer("200 OK", R"({"hosts":[{"host":")" + host +
                                  R"(","role":"side","state":"live",)"
                                  R"("address":"127.0.0.1","port":1}]})");
}

/// A platform that writes each answer once more on a kept connection.
class LateCopiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateCopiesTest);
  CPPUNIT_TEST(Append_RefusalRepeated_NextAppendIsNotRefused);
  CPPUNIT_TEST(Append_KeptConnectionClosed_IsSentOnce);
  CPPUNIT_TEST(Read_PageRepeated_NextReadGetsItsOwn);
  CPPUNIT_TEST(Fetch_ListRepeated_NextListIsTheNewest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against "not run" for a record that was appended.
  void Append_RefusalRepeated_NextAppendIsNotRefused() {
    Answer({MakeAnswer("429 Too Many", "{}"),
            MakeAnswer("200 OK", R"({"offset":7})")});
    HttpLogClient log("http://" + m_server->Address(), m_http);
    CPPUNIT_ASSERT(Append(log).error().not_run);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, Append(log).value_or(-1));
  }

  // Guards against a record that is appended twice, because the log read the
  // call on a kept connection and closed that without an answer.
  void Append_KeptConnectionClosed_IsSentOnce() {
    Answer({MakeAnswer("200 OK", R"({"offset":7})"), ""});
    HttpLogClient log("http://" + m_server->Address(), m_http);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, Append(log).value_or(-1));
    CPPUNIT_ASSERT(!Append(log).has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_calls.load());
  }

  // Guards against a reader that goes back to an earlier page.
  void Read_PageRepeated_NextReadGetsItsOwn() {
    const auto page = [](const std::string& next) {
      return MakeAnswer("200 OK", R"({"first_offset":0,"next_offset":)" + next +
                                      R"(,"records":[]})");
    };
    Answer({page("1"), page("2")});
    HttpLogClient log("http://" + m_server->Address(), m_http);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, Read(log));
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, Read(log));
  }

  // Guards against hosts that are gone and come back with an earlier list.
  void Fetch_ListRepeated_NextListIsTheNewest() {
    Answer({MakeHosts("first"), MakeHosts("second")});
    HttpHostList hosts("http://" + m_server->Address(), m_http);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), FetchHost(hosts));
    CPPUNIT_ASSERT_EQUAL(std::string("second"), FetchHost(hosts));
  }

 private:
  /// Starts a server that gives these answers in turn; it closes the connection
  /// instead of an empty one.
  void Answer(std::vector<std::string> answers) {
    m_server = std::make_unique<RawServer>(
        [this, answers = std::move(answers)](RawConnection& connection) {
          std::string copy;
          while (!connection.ReadRequest().empty()) {
            const size_t call = m_calls++;
            if (call >= answers.size() || answers[call].empty()) return;
            connection.Write(copy + answers[call]);
            copy = answers[call];
          }
        });
  }

  static Result<int64_t> Append(HttpLogClient& log) {
    std::promise<Result<int64_t>> offset;
    log.Append("record", [&](Result<int64_t> result) {
      offset.set_value(std::move(result));
    });
    return offset.get_future().get();
  }
  static int64_t Read(HttpLogClient& log) {
    std::promise<int64_t> next;
    log.Read(0, Duration::zero(), [&](const Result<LogPage>& page) {
      next.set_value(page ? page->next_offset : -1);
    });
    return next.get_future().get();
  }
  static std::string FetchHost(HttpHostList& hosts) {
    std::promise<std::string> host;
    hosts.Fetch([&](const Result<std::vector<HostEntry>>& list) {
      host.set_value(list ? list->at(0).host.value() : list.error().detail);
    });
    return host.get_future().get();
  }

  std::atomic<size_t> m_calls = 0;
  std::unique_ptr<RawServer> m_server;
  http::Client m_http;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LateCopiesTest);

}  // namespace
}  // namespace peridotshelf::platform
