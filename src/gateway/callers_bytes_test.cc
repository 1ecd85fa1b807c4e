#include <algorithm>
#include <cctype>

#include "gateway_fixture.h"
#include "peridotshelf/events/guard.h"

namespace peridotshelf::gateway {
namespace {

class CallersBytesTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(CallersBytesTest);
  CPPUNIT_TEST(Stream_RequestIdIsNotUtf8_ReservationIdsAreLettersAndDigits);
  CPPUNIT_TEST(Call_WorkThrows_EndsThatRequestOnly);
  CPPUNIT_TEST(Stream_AnswerThrows_EndsThatRequestOnly);
  CPPUNIT_TEST(Stream_QueuedRequestThrows_OthersLeaveTheQueue);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gateway that ends since an order's JSON holds a caller's
  // bytes, and against a list of helpers that a comma of the caller splits.
  void Stream_RequestIdIsNotUtf8_ReservationIdsAreLettersAndDigits() {
    for (int i = 0; i < 3; ++i) AddEngine(&StreamOneEvent, "models");
    Configure();
    const auto served = Call("/model/x", {{"Id",
                                           "r\xE9"
                                           "f,1/2\""},
                                          {"Tokens", "15000"}});
    CPPUNIT_ASSERT_EQUAL(200, served.status);
    size_t reservations = 0;
    for (const auto& engine : m_engines) {
      std::scoped_lock lock(engine->mutex);
      for (const auto& [id, tokens] : engine->reserved) {
        ++reservations;
        CPPUNIT_ASSERT(std::all_of(id.begin(), id.end(), [](unsigned char c) {
          return c == '-' || (c < 0x80 && std::isalnum(c) != 0);
        }));
      }
    }
    CPPUNIT_ASSERT(reservations >= 1);
  }

  // Guards against an exception in one request that ends all of a process.
  void Call_WorkThrows_EndsThatRequestOnly() {
    AddEngine(&RespondOk);
    Configure();
    const uint64_t before = events::CountExceptions();
    // The codec of the tests reads this with std::stoi, which throws.
    CPPUNIT_ASSERT_EQUAL(500, Call("/call/x", {{"Left", "none"}}).status);
    CPPUNIT_ASSERT_EQUAL(before + 1, events::CountExceptions());
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
  }

  // Guards against an engine's answer that ends a gateway.
  void Stream_AnswerThrows_EndsThatRequestOnly() {
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      auto headers = SignedHeaders(request);
      if (request.target == "/call/bad") headers.push_back({"Limit", "none"});
      responder->Reply(200, std::move(headers), "answer");
    });
    Configure();
    CPPUNIT_ASSERT_EQUAL(500, Call("/call/bad").status);
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/good").status);
    RunOnLoop([this] {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, m_gateway->CountRunning());
      CPPUNIT_ASSERT_EQUAL(
          0,
          m_active_request_table->ComputeLoad("engine-0@0", SteadyClock().Now())
              .running);
    });
  }

  // Guards against a queue that stands still after an exception.
  void Stream_QueuedRequestThrows_OthersLeaveTheQueue() {
    std::promise<void> all_held;
    AddEngine(
        [&, this](const ServerRequest& request, const ResponderPtr& responder) {
          if (request.target == "/model/queued") {
            StreamOneEvent(request, responder);
          } else {
            responder->BeginStream(200, SignedHeaders(request));
            m_open_responders.push_back(responder);
            if (m_open_responders.size() == kSlots) all_held.set_value();
          }
        },
        "models");
    Configure();
    const std::vector<Header> prompt{{"Tokens", "100"}};
    for (size_t i = 0; i < kSlots; ++i) {
      m_calls.push_back(StartCall("/model/holds", prompt));
    }
    WaitForRunning(kSlots);
    // The codec of the tests throws when such a request is sent.
    auto bad = StartCall("/model/throws", prompt);
    WaitForRunning(kSlots + 1);
    auto good = StartCall("/model/queued", prompt);
    WaitForRunning(kSlots + 2);
    // A request runs at the gateway before it is at its engine.
    CPPUNIT_ASSERT(all_held.get_future().wait_for(seconds(2)) ==
                   std::future_status::ready);
    RunOnLoop([this] {
      CPPUNIT_ASSERT_EQUAL(size_t{2}, m_gateway->CountQueued());
      for (const ResponderPtr& responder : m_open_responders) {
        responder->Write(MakeEvent(0));
        responder->EndStream();
      }
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), bad.get().value_or("cut"));
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0), good.get().value_or("cut"));
  }

 private:
  static void StreamOneEvent(const ServerRequest& request,
                             const ResponderPtr& responder) {
    responder->BeginStream(200, SignedHeaders(request));
    responder->Write(MakeEvent(0));
    responder->EndStream();
  }
  void WaitForRunning(size_t count) {
    const TimePoint deadline = SteadyClock().Now() + seconds(2);
    size_t running = 0;
    while (running < count && SteadyClock().Now() < deadline) {
      RunOnLoop([&] { running = m_gateway->CountRunning(); });
    }
    CPPUNIT_ASSERT_EQUAL(count, running);
  }

  static constexpr size_t kSlots = 4;
  std::vector<std::future<std::optional<std::string>>> m_calls;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallersBytesTest);

}  // namespace
}  // namespace peridotshelf::gateway
