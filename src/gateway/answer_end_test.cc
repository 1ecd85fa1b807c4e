#include <thread>

#include "gateway_fixture.h"
#include "peridotshelf/testing/raw_server.h"

namespace peridotshelf::gateway {
namespace {

using testing::RawConnection;
using testing::RawServer;

constexpr int64_t kStart = 1700000000000;
const std::string kHead =
    "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\nUntil-Close: "
    "1\r\n\r\n";

/// Answers that end with their connection, of an engine that says of its
/// process what the test chooses.
class AnswerEndTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(AnswerEndTest);
  CPPUNIT_TEST(Call_ProcessStatesTheSameStart_IsComplete);
  CPPUNIT_TEST(Call_ProcessStatesALaterStart_IsNotComplete);
  CPPUNIT_TEST(Call_AnotherEngineAnswers_IsNotComplete);
  CPPUNIT_TEST(Call_NobodyAnswersAtTheAddress_IsNotComplete);
  CPPUNIT_TEST(Call_RegistrationOlderThanTheProcess_IsComplete);
  CPPUNIT_TEST(Call_FirstOfTheGatewayAndNoStartStated_IsComplete);
  CPPUNIT_TEST(Call_FirstOfTheGateway_IsAskedOnce);
  CPPUNIT_TEST(Call_ServiceStatesLengths_IsNotAskedAgain);
  CPPUNIT_TEST(Stream_NotAskedBefore_IsNotComplete);
  CPPUNIT_TEST(Stream_RegistrationOlderThanTheProcess_IsCompleteOnceAsked);
  CPPUNIT_TEST(Call_QueryConnectionEndsWithTheAnswer_IsNotComplete);
  CPPUNIT_TEST(Call_EngineKeepsNoConnection_IsNotComplete);
  CPPUNIT_TEST(Call_ErrorInsteadOfAnIdentity_IsNotComplete);
  CPPUNIT_TEST(Call_ManyAnswersEndWhileOneIsChecked_AreAllComplete);
  CPPUNIT_TEST(Call_RepeatableAndCut_RunsAtAnotherEngine);
  CPPUNIT_TEST(Stream_EngineLeavesAndEnds_IsNotComplete);
  CPPUNIT_TEST(Stream_ProcessStatesALaterStart_IsResumed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guard against an answer without length that a crash cut and that reaches
  // its caller as complete.
  void Call_ProcessStatesTheSameStart_IsComplete() {
    AddRawEngine(kStart);
    const auto response = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("part"), response.body);
  }
  void Call_ProcessStatesALaterStart_IsNotComplete() {
    AddRawEngine(kStart);
    m_on_answer = [this] { m_next_identity = StatesStart(kStart + 450); };
    m_ends_with_answer = true;
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
  }
  void Call_AnotherEngineAnswers_IsNotComplete() {
    AddRawEngine(kStart);
    m_identity = "Engine: other\r\n" + StatesStart(kStart);
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
  }
  void Call_NobodyAnswersAtTheAddress_IsNotComplete() {
    AddRawEngine(kStart);
    m_has_identity = false;
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
  }

  // Guards against whole answers that are lost while the store is away.
  void Call_RegistrationOlderThanTheProcess_IsComplete() {
    AddRawEngine(kStart);
    m_identity = StatesStart(kStart + 450);
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
  }

  // Guards against whole answers that are lost after each start of a gateway.
  void Call_FirstOfTheGatewayAndNoStartStated_IsComplete() {
    AddRawEngine(0);
    m_identity.clear();
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
  }
  void Call_FirstOfTheGateway_IsAskedOnce() {
    m_identity.clear();
    AddRawEngine(0);
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(2, m_queries.load());
  }
  void Call_ServiceStatesLengths_IsNotAskedAgain() {
    AddEngine(&RespondOk);
    Configure();
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    RunOnLoop([this] { m_directory->Remove("engine-0", SteadyClock().Now()); });
    AddRawEngine(0);
    m_has_identity = false;
    Call("/post/x");
    // The query after an answer without length is the only one.
    CPPUNIT_ASSERT_EQUAL(1, m_queries.load());
  }
  // An engine without a stated start may have started again under its id.
  void Stream_NotAskedBefore_IsNotComplete() {
    AddRawEngine(0);
    m_identity.clear();
    m_body = MakeEvent(0);
    Call("/once/x");
    CPPUNIT_ASSERT(m_call_failed);
    Call("/once/x");
    CPPUNIT_ASSERT(!m_call_failed);
  }
  void Stream_RegistrationOlderThanTheProcess_IsCompleteOnceAsked() {
    AddRawEngine(kStart);
    m_identity = StatesStart(kStart + 450);
    m_body = MakeEvent(0);
    Call("/once/x");
    CPPUNIT_ASSERT(m_call_failed);
    Call("/once/x");
    CPPUNIT_ASSERT(!m_call_failed);
  }
  void Call_QueryConnectionEndsWithTheAnswer_IsNotComplete() {
    AddRawEngine(0);
    m_identity.clear();
    m_ends_with_answer = true;
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    m_ends_with_answer = true;
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    m_ends_with_answer = false;
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
  }
  void Call_EngineKeepsNoConnection_IsNotComplete() {
    AddRawEngine(0);
    m_identity = "Connection: close\r\n";
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    }
  }
  // Guards against an answer of whatever is between the gateway and its engine.
  void Call_ErrorInsteadOfAnIdentity_IsNotComplete() {
    AddRawEngine(0);
    m_identity.clear();
    m_identity_status = "503 Unavailable";
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    }
  }

  void Call_ManyAnswersEndWhileOneIsChecked_AreAllComplete() {
    AddRawEngine(kStart);
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    m_queries = 0;
    m_identity_delay = milliseconds(100);
    std::vector<std::future<std::optional<std::string>>> calls;
    for (int i = 0; i < 3; ++i) {
      calls.push_back(StartCall("/post/x"));
      std::this_thread::sleep_for(milliseconds(30));
    }
    for (auto& call : calls) {
      CPPUNIT_ASSERT_EQUAL(std::string("part"), call.get().value_or("cut"));
    }
    CPPUNIT_ASSERT_EQUAL(2, m_queries.load());
  }

  void Call_RepeatableAndCut_RunsAtAnotherEngine() {
    AddRawEngine(kStart);
    m_is_restarting = true;
    AddEngine(RespondOk);
    Configure();
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/x"), Call("/call/x").body);
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/x"), Call("/call/x").body);
  }

  void Stream_EngineLeavesAndEnds_IsNotComplete() {
    AddRawEngine(kStart);
    m_has_identity = false;
    m_body = MakeEvent(0);
    m_on_answer = [this] {
      RunOnLoop([this] {
        discovery::EngineRecord record = *m_directory->Find("raw");
        record.state = discovery::EngineState::kLeaving;
        m_directory->Update(record);
      });
    };
    const auto response = Call("/once/x");
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0), response.body);
    CPPUNIT_ASSERT(m_call_failed);
  }

  void Stream_ProcessStatesALaterStart_IsResumed() {
    AddRawEngine(kStart);
    m_is_restarting = true;
    m_body = MakeEvent(0);
    AddSecondRawEngine(
        "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\n"
        "Content-Length: " +
        std::to_string(MakeEvent(1).size()) + "\r\n\r\n" + MakeEvent(1));
    // Whichever of the two is chosen first, the events are in order.
    for (int i = 0; i < 4; ++i) {
      const auto response = Call("/stream/x");
      const bool is_resumed = response.body == MakeEvent(0) + MakeEvent(1);
      CPPUNIT_ASSERT_MESSAGE(response.body,
                             is_resumed || response.body == MakeEvent(1));
      CPPUNIT_ASSERT(!m_call_failed);
    }
  }

  void setUp() override {
    GatewayFixture::setUp();
    m_server = std::make_unique<RawServer>(
        [this](RawConnection& connection) { Serve(connection); });
  }
  void tearDown() override {
    m_second_server.reset();
    m_server.reset();
    GatewayFixture::tearDown();
  }

 private:
  static std::string StatesStart(int64_t unix_ms) {
    return "Started: " + std::to_string(unix_ms) + "\r\n";
  }

  void AddRawEngine(int64_t started_unix_ms) {
    Register("raw", m_server->Address(), "calls", started_unix_ms);
    Configure();
  }

  void AddSecondRawEngine(const std::string& answer) {
    m_second_server =
        std::make_unique<RawServer>([answer](RawConnection& connection) {
          if (!connection.ReadRequest().empty()) connection.Write(answer);
        });
    Register("second", m_second_server->Address(), "calls", kStart);
    Configure();
  }

  void Serve(RawConnection& connection) {
    std::string request;
    while (!(request = connection.ReadRequest()).empty()) {
      if (request.find("/identity") == std::string::npos) break;
      const int query = ++m_queries;
      std::this_thread::sleep_for(m_identity_delay);
      if (!m_has_identity) return;
      connection.Write(
          "HTTP/1.1 " + m_identity_status + "\r\nContent-Length: 0\r\n" +
          (m_is_restarting ? StatesStart(kStart + query)
                           : m_next_identity.value_or(m_identity)) +
          "\r\n");
      if (m_is_restarting) return;
    }
    if (request.empty()) return;
    m_on_answer();
    connection.Write(kHead + m_body);
    if (m_ends_with_answer) m_server->CloseConnections();
  }

  /// Headers of the answer to the question which process answers.
  std::string m_identity = StatesStart(kStart);
  /// The same once the engine has answered, if it changes.
  std::optional<std::string> m_next_identity;
  std::string m_identity_status = "200 OK";
  bool m_has_identity = true;
  /// Each query is answered by a process that started later.
  bool m_is_restarting = false;
  milliseconds m_identity_delay{0};
  /// The process ends with its answer, and another one listens.
  bool m_ends_with_answer = false;
  std::string m_body = "part";
  std::function<void()> m_on_answer = [] {};
  std::atomic<int> m_queries{0};
  std::unique_ptr<RawServer> m_server;
  std::unique_ptr<RawServer> m_second_server;
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerEndTest);

}  // namespace
}  // namespace peridotshelf::gateway
