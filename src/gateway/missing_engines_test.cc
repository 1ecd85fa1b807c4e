#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

/// Registers engines whose addresses belong to no engine or to another one.
class MissingEnginesTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(MissingEnginesTest);
  CPPUNIT_TEST(Call_ManyEnginesUnreachable_IsServedByTheSoundOne);
  CPPUNIT_TEST(Stream_ManyEnginesUnreachable_IsServedByTheSoundOne);
  CPPUNIT_TEST(Call_ManyAddressesOfAnotherEngine_IsServedByTheSoundOne);
  CPPUNIT_TEST(Call_AddressesOfAnotherEngine_SpendTheRetryBudget);
  CPPUNIT_TEST(Call_AllEnginesUnreachable_IsRefused);
  CPPUNIT_TEST(Call_AllEnginesFull_TriesFew);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against 503 while a sound engine is idle: neither the attempts of a
  // request nor the retry budget may be used up by requests that reach no
  // engine.
  void Call_ManyEnginesUnreachable_IsServedByTheSoundOne() {
    RegisterMany(kMoreThanTheBudget, FreeAddress(), "calls");
    AddEngine(&RespondOk);
    Configure();
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count());
  }

  void Stream_ManyEnginesUnreachable_IsServedByTheSoundOne() {
    RegisterMany(kMoreThanTheBudget, FreeAddress(), "models");
    AddEngine(
        [](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, SignedHeaders(request));
          responder->Write(MakeEvent(1));
          responder->EndStream();
        },
        "models");
    Configure();
    CPPUNIT_ASSERT_EQUAL(200, Call("/model/x", {{"Tokens", "100"}}).status);
  }

  void Call_ManyAddressesOfAnotherEngine_IsServedByTheSoundOne() {
    AddEngine(&RespondAsAnotherEngine, "others");
    RegisterMany(kMoreThanTheAttempts, EngineAt(0).address, "calls");
    AddEngine(&RespondOk);
    Configure();
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(1).Count());
  }

  // Guards against more arrivals than the budget allows: another engine rejects
  // a request that has arrived.
  void Call_AddressesOfAnotherEngine_SpendTheRetryBudget() {
    AddEngine(&RespondAsAnotherEngine, "others");
    RegisterMany(kMoreThanTheBudget, EngineAt(0).address, "calls");
    Configure();
    CPPUNIT_ASSERT_EQUAL(503, Call("/post/x").status);
    CPPUNIT_ASSERT(EngineAt(0).Count() <= kBudget + 1);
  }

  void Call_AllEnginesUnreachable_IsRefused() {
    RegisterMany(kMoreThanTheAttempts, FreeAddress(), "calls");
    Configure();
    CPPUNIT_ASSERT_EQUAL(503, Call("/post/x").status);
  }

  // Guards against one request that visits all engines of a full service.
  void Call_AllEnginesFull_TriesFew() {
    constexpr size_t kAttempts = 4;
    AddEngine(&RespondNotRun, "others");
    RegisterMany(kMoreThanTheAttempts, EngineAt(0).address, "calls");
    Configure();
    CPPUNIT_ASSERT_EQUAL(503, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(kAttempts, EngineAt(0).Count());
  }

 private:
  /// Repeats that the gateway may send.
  static constexpr size_t kBudget = 100;
  static constexpr size_t kMoreThanTheBudget = kBudget + 10;
  static constexpr size_t kMoreThanTheAttempts = 10;

  static std::string FreeAddress() {
    return "127.0.0.1:" + std::to_string(testing::FindFreePort());
  }

  static void RespondAsAnotherEngine(const ServerRequest& request,
                                     const ResponderPtr& responder) {
    auto headers = SignedHeaders(request);
    headers.push_back({"Other-Engine", "1"});
    responder->Reply(421, std::move(headers), "");
  }

  /// The ids make these engines the first choice among equals.
  void RegisterMany(size_t count, const std::string& address,
                    const std::string& service) {
    for (size_t i = 0; i < count; ++i) {
      Register("absent-" + std::to_string(i), address, service);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MissingEnginesTest);

}  // namespace
}  // namespace peridotshelf::gateway
