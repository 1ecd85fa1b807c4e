#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class GatewayStreamTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(GatewayStreamTest);
  CPPUNIT_TEST(Stream_OnlyEngineSilent_IsNotEndedEarly);
  CPPUNIT_TEST(Stream_SilentAndOtherEnginesFull_IsNotEndedEarly);
  CPPUNIT_TEST(Stream_TwoSilentAndOnePlaceElsewhere_OneMovesNoneIsCut);
  CPPUNIT_TEST(Stream_Whole_ArrivesEventByEvent);
  CPPUNIT_TEST(Stream_BreaksMidway_GoesOnAfterTheLastEvent);
  CPPUNIT_TEST(Stream_EventMissing_IsNotDelivered);
  CPPUNIT_TEST(Stream_NotResumableBreaks_CallerSeesItIncomplete);
  CPPUNIT_TEST(RefuseNewStreams_StreamComes_IsRefusedCallIsServed);
  CPPUNIT_TEST(Stream_PromptOverOneEnginesMemory_ReservesAndReleases);
  CPPUNIT_TEST(Stream_SilentWithReservedMemory_GivesItBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Stream_OnlyEngineSilent_IsNotEndedEarly() {
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, Signed(request));
          responder->Write(Event(0));
          // Longer than a silence that would move the stream to another engine.
          m_threads->RunAfter(milliseconds(1900), [responder] {
            responder->Write(Event(1));
            responder->EndStream();
          });
        });
    Configure();
    CPPUNIT_ASSERT_EQUAL(Event(0) + Event(1), Call("/stream/x").body);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Engine(0).Count());
  }

  // Found by a hunted day: streams at a slow engine were cut although no other
  // engine could take them.
  void Stream_SilentAndOtherEnginesFull_IsNotEndedEarly() {
    for (size_t own = 0; own < 2; ++own) {
      AddEngine(
          [this, own](const ServerRequest& request,
                      const ResponderPtr& responder) {
            TakePlaces(1 - own, 4);
            responder->BeginStream(200, Signed(request));
            responder->Write(Event(0));
            m_threads->RunAfter(milliseconds(1900), [responder] {
              responder->Write(Event(1));
              responder->EndStream();
            });
          },
          "models");
    }
    Configure();
    CPPUNIT_ASSERT_EQUAL(Event(0) + Event(1), Call("/model/x").body);
    CPPUNIT_ASSERT(!m_failed);
  }

  // Both are found silent at one moment, and the first takes the only place.
  void Stream_TwoSilentAndOnePlaceElsewhere_OneMovesNoneIsCut() {
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, Signed(request));
          m_held.push_back(responder);
          if (m_held.size() < 2) return;
          for (const ResponderPtr& stream : m_held) {
            stream->Write(Event(0));
            m_threads->RunAfter(milliseconds(1900), [stream] {
              stream->Write(Event(1));
              stream->EndStream();
            });
          }
        },
        "models");
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, Signed(request));
          responder->Write(Event(1));
          // Keeps its place until the other stream has gone on.
          m_threads->RunAfter(milliseconds(700),
                              [responder] { responder->EndStream(); });
        },
        "models");
    Configure();
    OnLoop([this] { TakePlaces(1, 4); });
    auto first = StartCall("/model/x");
    auto second = StartCall("/model/x");
    while (Engine(0).Count() < 2) std::this_thread::sleep_for(milliseconds(1));
    OnLoop([this] { TakePlaces(1, 3); });
    const std::optional<std::string> whole = Event(0) + Event(1);
    CPPUNIT_ASSERT(first.get() == whole);
    CPPUNIT_ASSERT(second.get() == whole);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Engine(1).Count());
  }

  void Stream_Whole_ArrivesEventByEvent() {
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      responder->BeginStream(200, Signed(request));
      // Events come cut anywhere.
      const std::string all = Event(0) + Event(1) + Event(2);
      for (const char byte : all) responder->Write(std::string(1, byte));
      responder->EndStream();
    });
    Configure();
    CPPUNIT_ASSERT_EQUAL(Event(0) + Event(1) + Event(2),
                         Call("/stream/x").body);
  }

  void Stream_BreaksMidway_GoesOnAfterTheLastEvent() {
    const auto answer = [](const ServerRequest& request,
                           const ResponderPtr& responder) {
      responder->BeginStream(200, Signed(request));
      const auto after = request.FindHeader("After");
      if (!after) {
        responder->Write(Event(0) + Event(1) + "id: 2\nda");
        responder->Abort();
        return;
      }
      const int64_t last = std::stoll(std::string(*after));
      for (int64_t n = last + 1; n < 4; ++n) responder->Write(Event(n));
      responder->EndStream();
    };
    AddEngine(answer);
    AddEngine(answer);
    Configure();
    CPPUNIT_ASSERT_EQUAL(Event(0) + Event(1) + Event(2) + Event(3),
                         Call("/stream/x").body);
  }

  void Stream_EventMissing_IsNotDelivered() {
    const auto answer = [](const ServerRequest& request,
                           const ResponderPtr& responder) {
      responder->BeginStream(200, Signed(request));
      if (!request.FindHeader("After")) {
        responder->Write(Event(0) + Event(2));
      } else {
        responder->Write(Event(1) + Event(2));
      }
      responder->EndStream();
    };
    AddEngine(answer);
    AddEngine(answer);
    Configure();
    CPPUNIT_ASSERT_EQUAL(Event(0) + Event(1) + Event(2),
                         Call("/stream/x").body);
  }

  void Stream_NotResumableBreaks_CallerSeesItIncomplete() {
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      responder->BeginStream(200, Signed(request));
      responder->Write(Event(0));
      // The rest is lost after the first event is on its way.
      std::this_thread::sleep_for(milliseconds(50));
      responder->Abort();
    });
    Configure();
    const auto answer = Call("/once/x");
    CPPUNIT_ASSERT(m_failed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Engine(0).Count());
  }

  void RefuseNewStreams_StreamComes_IsRefusedCallIsServed() {
    AddEngine(&AnswerWell);
    Configure();
    OnLoop([this] { m_gateway->RefuseNewStreams(); });
    CPPUNIT_ASSERT_EQUAL(503, Call("/stream/x").status);
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
  }

  void Stream_PromptOverOneEnginesMemory_ReservesAndReleases() {
    const auto answer = [](const ServerRequest& request,
                           const ResponderPtr& responder) {
      responder->BeginStream(200, Signed(request));
      responder->Write(Event(0));
      responder->EndStream();
    };
    for (int i = 0; i < 3; ++i) AddEngine(answer, "models");
    Configure();
    const auto served = Call("/model/x", {{"Tokens", "15000"}});
    CPPUNIT_ASSERT_EQUAL(200, served.status);
    int64_t reserved = 0;
    for (const auto& engine : m_engines) {
      std::scoped_lock lock(engine->mutex);
      for (const auto& [id, tokens] : engine->reserved) reserved += tokens;
    }
    const size_t holders = CountHolders();
    CPPUNIT_ASSERT(holders >= 1);
    CPPUNIT_ASSERT(reserved >= 5000);
    WaitForReleases(holders);
  }

  // Found by a hunted day: an engine went dark, and what helped it kept the
  // memory of its request for ten seconds.
  void Stream_SilentWithReservedMemory_GivesItBack() {
    const auto fall_silent = [this](const ServerRequest& /*request*/,
                                    const ResponderPtr& responder) {
      m_held.push_back(responder);
    };
    for (int i = 0; i < 3; ++i) AddEngine(fall_silent, "models");
    Configure();
    auto outcome = StartCall("/model/x", {{"Tokens", "15000"}});
    while (CountCalls() == 0) std::this_thread::sleep_for(milliseconds(1));
    WaitForReleases(CountHolders());
    OnLoop([this] { m_gateway->AbortAll(); });
    outcome.get();
  }

 private:
  size_t CountCalls() {
    size_t calls = 0;
    for (const auto& engine : m_engines) calls += engine->Count();
    return calls;
  }
  /// Reservations that engines have been asked for.
  size_t CountHolders() {
    size_t holders = 0;
    for (const auto& engine : m_engines) {
      std::scoped_lock lock(engine->mutex);
      holders += engine->reserved.size();
    }
    return holders;
  }
  /// Another entry has `count` of a model engine's four places. On the loop
  /// only.
  void TakePlaces(size_t index, size_t count) {
    std::vector<scheduling::ActiveRequest> works(count);
    for (scheduling::ActiveRequest& work : works) {
      work.end = SteadyClock().Now() + seconds(60);
    }
    m_active_request_table->SetPeerRequests(
        "peer", "engine-" + std::to_string(index) + "@0", works);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStreamTest);

}  // namespace
}  // namespace peridotshelf::gateway
