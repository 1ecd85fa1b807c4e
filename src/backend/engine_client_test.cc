#include "peridotshelf/backend/engine_client.h"

#include <atomic>
#include <future>

#include "peridotshelf/testing/raw_server.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::backend {
namespace {

using testing::RawConnection;
using testing::RawServer;

std::string MakeAnswer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

const std::string kRefusal = MakeAnswer(
    "503 Unavailable", R"({"error":{"message":"full","not_run":true}})");
const std::string kRan =
    MakeAnswer("200 OK", "{\"offset\":0,\"text\":\"x\"}\n{\"done\":true}\n");

class EngineClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineClientTest);
  CPPUNIT_TEST(Run_EngineRepeatsARefusal_NextRunIsNotRefused);
  CPPUNIT_TEST(Run_EngineClosesAKeptConnection_IsSentOnce);
  CPPUNIT_TEST(Cancel_EngineRepeatsAnAnswer_FailureIsNotTakenForSuccess);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against "not run" for a run that the engine executes, because the
  // engine wrote the refusal of an earlier one once more.
  void Run_EngineRepeatsARefusal_NextRunIsNotRefused() {
    std::atomic<int> runs = 0;
    const RawServer engine([&](RawConnection& connection) {
      std::string copy;
      while (!connection.ReadRequest().empty()) {
        const bool is_first = runs++ == 0;
        connection.Write(copy + (is_first ? kRefusal : kRan));
        copy = is_first ? kRefusal : "";
      }
    });
    EngineClient client(m_http, "http://" + engine.Address());
    CPPUNIT_ASSERT(Run(client, 1).error().not_run);
    CPPUNIT_ASSERT(Run(client, 2).has_value());
    CPPUNIT_ASSERT_EQUAL(2, runs.load());
  }

  // Guards against a run that is sent twice, because the engine read it on a
  // kept connection and closed that without an answer.
  void Run_EngineClosesAKeptConnection_IsSentOnce() {
    std::atomic<int> runs = 0;
    const RawServer engine([&](RawConnection& connection) {
      while (!connection.ReadRequest().empty()) {
        if (runs++ == 1) return;
        connection.Write(kRan);
      }
    });
    EngineClient client(m_http, "http://" + engine.Address());
    CPPUNIT_ASSERT(Run(client, 1).has_value());
    const auto lost = Run(client, 2);
    CPPUNIT_ASSERT_EQUAL(2, runs.load());
    CPPUNIT_ASSERT(!lost.has_value());
    CPPUNIT_ASSERT(!lost.error().not_run);
  }

  // Guards against memory that counts as free although its attempt still runs.
  void Cancel_EngineRepeatsAnAnswer_FailureIsNotTakenForSuccess() {
    std::atomic<int> calls = 0;
    const RawServer engine([&](RawConnection& connection) {
      std::string copy;
      while (!connection.ReadRequest().empty()) {
        const std::string answer = calls++ == 0
                                       ? MakeAnswer("200 OK", "{}")
                                       : MakeAnswer("500 Failed", "{}");
        connection.Write(copy + answer);
        copy = answer;
      }
    });
    EngineClient client(m_http, "http://" + engine.Address());
    CPPUNIT_ASSERT(Cancel(client, 1));
    CPPUNIT_ASSERT(!Cancel(client, 2));
  }

 private:
  static Result<EngineUsage> Run(EngineClient& client, int32_t number) {
    EngineRun run;
    run.attempt = AttemptId{RequestId("request"), number};
    run.prompt_json = "\"prompt\"";
    std::promise<Result<EngineUsage>> outcome;
    client.Run(run, {[](const EngineChunk&) {},
                     [&](Result<EngineUsage> result) {
                       outcome.set_value(std::move(result));
                     }});
    return outcome.get_future().get();
  }
  static bool Cancel(EngineClient& client, int32_t number) {
    std::promise<bool> is_cancelled;
    client.Cancel(AttemptId{RequestId("request"), number},
                  [&](const Result<void>& result) {
                    is_cancelled.set_value(result.has_value());
                  });
    return is_cancelled.get_future().get();
  }

  http::Client m_http;
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineClientTest);

}  // namespace
}  // namespace peridotshelf::backend
