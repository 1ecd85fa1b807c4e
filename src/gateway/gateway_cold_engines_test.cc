#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

/// Requests per second that cold engines tolerate here; a lone gateway sends no
/// more.
constexpr int kColdLimit = 3;

void StreamOk(const ServerRequest& request, const ResponderPtr& responder) {
  responder->BeginStream(200, SignedHeaders(request));
  responder->Write(MakeEvent(1));
  responder->EndStream();
}

class GatewayColdEnginesTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(GatewayColdEnginesTest);
  CPPUNIT_TEST(Call_ColdEngineNearItsLimit_OthersGetTheRequests);
  CPPUNIT_TEST(Call_AllEnginesColdAtTheirLimit_IsRefusedAtOnce);
  CPPUNIT_TEST(Call_ColdTimeOver_IsServed);
  CPPUNIT_TEST(Call_ServiceWithoutColdLimit_IsServed);
  CPPUNIT_TEST(Call_NewEngineAfterTheFirstRead_IsAssumedCold);
  CPPUNIT_TEST(Call_RegistrationReadBeforeTheConfiguration_IsCold);
  CPPUNIT_TEST(Stream_ColdEngineNearItsLimit_OthersGetTheRequests);
  CPPUNIT_TEST(Stream_AllEnginesColdAtTheirLimit_WaitsForTheWindow);
  CPPUNIT_TEST(Stream_ColdEngineHasNotAnswered_GetsTwoRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests beyond the limit of a cold engine while another is
  // free, and against a cold engine that gets none at all.
  void Call_ColdEngineNearItsLimit_OthersGetTheRequests() {
    AddEngine(&RespondOk);
    AddEngine(&RespondOk);
    Configure(kColdLimit);
    TurnCold(0, seconds(30));
    SendAll("/call/x", 20, {});
    CPPUNIT_ASSERT(EngineAt(0).Count() > 0);
    CPPUNIT_ASSERT(EngineAt(0).Count() <= kColdLimit);
    CPPUNIT_ASSERT_EQUAL(size_t{20}, EngineAt(0).Count() + EngineAt(1).Count());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountCold());
  }
  // Guards against a rush on cold engines that have no alternative.
  void Call_AllEnginesColdAtTheirLimit_IsRefusedAtOnce() {
    AddEngine(&RespondOk);
    AddEngine(&RespondOk);
    Configure(kColdLimit);
    TurnCold(0, seconds(30));
    TurnCold(1, seconds(30));
    SendAll("/call/x", 20, {});
    CPPUNIT_ASSERT(EngineAt(0).Count() <= kColdLimit);
    CPPUNIT_ASSERT(EngineAt(1).Count() <= kColdLimit);
    const auto refused = Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(503, refused.status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
  }
  void Call_ColdTimeOver_IsServed() {
    AddEngine(&RespondOk);
    Configure(kColdLimit);
    TurnCold(0, seconds(30));
    SendAll("/call/x", kColdLimit, {});
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    TurnCold(0, seconds(0));
    SendAll("/call/x", 10, {});
    CPPUNIT_ASSERT_EQUAL(size_t{kColdLimit + 10}, EngineAt(0).Count());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountCold());
  }
  // Guards against an effect where the configuration does not ask for it.
  void Call_ServiceWithoutColdLimit_IsServed() {
    AddEngine(&RespondOk);
    Configure();
    TurnCold(0, seconds(30));
    SendAll("/call/x", 20, {});
    CPPUNIT_ASSERT_EQUAL(size_t{20}, EngineAt(0).Count());
  }
  void Call_NewEngineAfterTheFirstRead_IsAssumedCold() {
    AddEngine(&RespondOk);
    Configure(kColdLimit);
    RunOnLoop([&] {
      // The first full read, then the one that finds the engine.
      m_directory->BeginRead(SteadyClock().Now());
      m_directory->BeginRead(SteadyClock().Now());
      m_gateway->NoteRegistration(*m_directory->Find("engine-0"), std::nullopt);
    });
    SendAll("/call/x", 10, {});
    CPPUNIT_ASSERT_EQUAL(size_t{kColdLimit}, EngineAt(0).Count());
  }
  // Guards against a gateway that starts together with the engines and takes
  // them for warm, since it reads them first.
  void Call_RegistrationReadBeforeTheConfiguration_IsCold() {
    AddEngine(&RespondOk);
    RunOnLoop([&] {
      discovery::EngineRecord record = *m_directory->Find("engine-0");
      record.started_unix_ms =
          std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
      m_directory->BeginRead(SteadyClock().Now());
      m_directory->Update(record);
      m_gateway->NoteRegistration(record, std::nullopt);
    });
    Configure(kColdLimit);
    SendAll("/call/x", 10, {});
    CPPUNIT_ASSERT_EQUAL(size_t{kColdLimit}, EngineAt(0).Count());
  }
  void Stream_ColdEngineNearItsLimit_OthersGetTheRequests() {
    AddEngine(&StreamOk, "models");
    AddEngine(&StreamOk, "models");
    Configure(kColdLimit);
    TurnCold(0, seconds(30));
    SendAll("/model/x", 20, kShortPrompt);
    CPPUNIT_ASSERT(EngineAt(0).Count() <= kColdLimit);
    CPPUNIT_ASSERT_EQUAL(size_t{20}, EngineAt(0).Count() + EngineAt(1).Count());
  }
  // Guards against a rush, and against requests that are held without need.
  void Stream_AllEnginesColdAtTheirLimit_WaitsForTheWindow() {
    AddEngine(&StreamOk, "models");
    Configure(kColdLimit);
    TurnCold(0, seconds(30));
    SendAll("/model/x", kColdLimit, kShortPrompt);
    const TimePoint began = SteadyClock().Now();
    const auto queued = Call("/model/x", kShortPrompt);
    CPPUNIT_ASSERT_EQUAL(200, queued.status);
    CPPUNIT_ASSERT_EQUAL(size_t{kColdLimit + 1}, EngineAt(0).Count());
    CPPUNIT_ASSERT(SteadyClock().Now() - began > milliseconds(300));
  }
  // Guards against a new engine that gets many requests since it looks idle.
  void Stream_ColdEngineHasNotAnswered_GetsTwoRequests() {
    AddEngine(
        [this](const ServerRequest&, const ResponderPtr& responder) {
          m_open_responders.push_back(responder);
        },
        "models");
    Configure(/*cold_per_second=*/100);
    TurnCold(0, seconds(30));
    std::vector<std::future<std::optional<std::string>>> calls;
    calls.reserve(4);
    for (int i = 0; i < 4; ++i) {
      calls.push_back(StartCall("/model/x", kShortPrompt));
    }
    const TimePoint deadline = SteadyClock().Now() + seconds(2);
    while (CountOpen() + CountQueued() < 4 && SteadyClock().Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, EngineAt(0).Count());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, CountQueued());
  }

 private:
  inline static const std::vector<Header> kShortPrompt{{"Tokens", "100"}};

  void SendAll(const std::string& target, int count,
               const std::vector<Header>& headers) {
    for (int i = 0; i < count; ++i) Call(target, headers);
  }
  size_t CountCold() {
    size_t count = 0;
    RunOnLoop([&] { count = m_gateway->CountCold(); });
    return count;
  }
  size_t CountQueued() {
    size_t count = 0;
    RunOnLoop([&] { count = m_gateway->CountQueued(); });
    return count;
  }
  size_t CountOpen() { return EngineAt(0).Count(); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayColdEnginesTest);

}  // namespace
}  // namespace peridotshelf::gateway
