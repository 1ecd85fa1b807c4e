#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class GatewayStreamTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(GatewayStreamTest);
  CPPUNIT_TEST(Stream_OnlyEngineStalls_IsNotCut);
  CPPUNIT_TEST(Stream_StallsWhileOtherEnginesFull_IsNotCut);
  CPPUNIT_TEST(Stream_TwoStallWithOneFreeSlot_OneMovesNoneIsCut);
  CPPUNIT_TEST(Stream_ArbitraryChunks_ArrivesEventByEvent);
  CPPUNIT_TEST(Stream_ConnectionLost_ResumesAfterLastEvent);
  CPPUNIT_TEST(Stream_ConnectionLostAfterLastEvent_IsComplete);
  CPPUNIT_TEST(Stream_EventMissing_GapIsNotDelivered);
  CPPUNIT_TEST(Stream_NotResumableConnectionLost_IsCutAtCaller);
  CPPUNIT_TEST(Stream_PromptOverOneEnginesMemory_ReservesAndReleases);
  CPPUNIT_TEST(Stream_HelperCannotTakePart_IsSentWithoutIt);
  CPPUNIT_TEST(Stream_EventWithoutEnd_ContinuesAtAnotherEngine);
  CPPUNIT_TEST(Stream_EventWithoutNumber_IsNotDelivered);
  CPPUNIT_TEST(Stream_StallsWithReservedMemory_ReleasesIt);
  CPPUNIT_TEST(Stream_EngineLeavesDuringReservation_IsNotSentThere);
  CPPUNIT_TEST(Stream_HelperLeavesDuringReservation_IsNotSent);
  CPPUNIT_TEST(Stream_ReservationSaysThatHelperLeaves_IsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Stream_OnlyEngineStalls_IsNotCut() {
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, SignedHeaders(request));
          responder->Write(MakeEvent(0));
          // Longer than the stall timeout that moves a stream to another
          // engine.
          m_threads->RunAfter(milliseconds(1900), [responder] {
            responder->Write(MakeEvent(1));
            responder->EndStream();
          });
        });
    Configure();
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1), Call("/stream/x").body);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count());
  }

  // Guards against cutting a stream at a slow engine when no other engine can
  // take it.
  void Stream_StallsWhileOtherEnginesFull_IsNotCut() {
    for (size_t index = 0; index < 2; ++index) {
      AddEngine(
          [this, index](const ServerRequest& request,
                        const ResponderPtr& responder) {
            OccupySlots(1 - index, 4);
            responder->BeginStream(200, SignedHeaders(request));
            responder->Write(MakeEvent(0));
            m_threads->RunAfter(milliseconds(1900), [responder] {
              responder->Write(MakeEvent(1));
              responder->EndStream();
            });
          },
          "models");
    }
    Configure();
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1), Call("/model/x").body);
    CPPUNIT_ASSERT(!m_call_failed);
  }

  // Both streams are found stalled at the same time, and the first one takes
  // the only free slot.
  void Stream_TwoStallWithOneFreeSlot_OneMovesNoneIsCut() {
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, SignedHeaders(request));
          m_open_responders.push_back(responder);
          if (m_open_responders.size() < 2) return;
          for (const ResponderPtr& stream : m_open_responders) {
            stream->Write(MakeEvent(0));
            m_threads->RunAfter(milliseconds(1900), [stream] {
              stream->Write(MakeEvent(1));
              stream->EndStream();
            });
          }
        },
        "models");
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, SignedHeaders(request));
          responder->Write(MakeEvent(1));
          // Keeps its slot until the other stream has continued.
          m_threads->RunAfter(milliseconds(700),
                              [responder] { responder->EndStream(); });
        },
        "models");
    Configure();
    RunOnLoop([this] { OccupySlots(1, 4); });
    auto first = StartCall("/model/x");
    auto second = StartCall("/model/x");
    while (EngineAt(0).Count() < 2)
      std::this_thread::sleep_for(milliseconds(1));
    RunOnLoop([this] { OccupySlots(1, 3); });
    const std::optional<std::string> complete = MakeEvent(0) + MakeEvent(1);
    CPPUNIT_ASSERT(first.get() == complete);
    CPPUNIT_ASSERT(second.get() == complete);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(1).Count());
  }

  void Stream_ArbitraryChunks_ArrivesEventByEvent() {
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      // Events arrive in arbitrary chunks.
      const std::string all = MakeEvent(0) + MakeEvent(1) + MakeEvent(2);
      for (const char byte : all) responder->Write(std::string(1, byte));
      responder->EndStream();
    });
    Configure();
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1) + MakeEvent(2),
                         Call("/stream/x").body);
  }

  void Stream_ConnectionLost_ResumesAfterLastEvent() {
    const auto handler = [](const ServerRequest& request,
                            const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      const auto after = request.FindHeader("After");
      if (!after) {
        responder->Write(MakeEvent(0) + MakeEvent(1) + "id: 2\nda");
        responder->Abort();
        return;
      }
      const int64_t last = std::stoll(std::string(*after));
      for (int64_t n = last + 1; n < 4; ++n) responder->Write(MakeEvent(n));
      responder->EndStream();
    };
    AddEngine(handler);
    AddEngine(handler);
    Configure();
    CPPUNIT_ASSERT_EQUAL(
        MakeEvent(0) + MakeEvent(1) + MakeEvent(2) + MakeEvent(3),
        Call("/stream/x").body);
  }

  // Guards against a stream that is cut although its caller has all events.
  void Stream_ConnectionLostAfterLastEvent_IsComplete() {
    const auto handler = [](const ServerRequest& request,
                            const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      if (request.FindHeader("After")) {
        responder->EndStream();
        return;
      }
      responder->Write(MakeEvent(0) + MakeEvent(1));
      // The connection is lost after both events were sent.
      std::this_thread::sleep_for(milliseconds(50));
      responder->Abort();
    };
    AddEngine(handler);
    AddEngine(handler);
    Configure();
    const auto response = Call("/stream/x");
    CPPUNIT_ASSERT(!m_call_failed);
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1), response.body);
  }

  void Stream_EventMissing_GapIsNotDelivered() {
    const auto handler = [](const ServerRequest& request,
                            const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      if (!request.FindHeader("After")) {
        responder->Write(MakeEvent(0) + MakeEvent(2));
      } else {
        responder->Write(MakeEvent(1) + MakeEvent(2));
      }
      responder->EndStream();
    };
    AddEngine(handler);
    AddEngine(handler);
    Configure();
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1) + MakeEvent(2),
                         Call("/stream/x").body);
  }

  void Stream_NotResumableConnectionLost_IsCutAtCaller() {
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(0));
      // The connection is lost after the first event was sent.
      std::this_thread::sleep_for(milliseconds(50));
      responder->Abort();
    });
    Configure();
    const auto response = Call("/once/x");
    CPPUNIT_ASSERT(m_call_failed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count());
  }

  void Stream_PromptOverOneEnginesMemory_ReservesAndReleases() {
    const auto handler = [](const ServerRequest& request,
                            const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(0));
      responder->EndStream();
    };
    for (int i = 0; i < 3; ++i) AddEngine(handler, "models");
    Configure();
    const auto served = Call("/model/x", {{"Tokens", "15000"}});
    CPPUNIT_ASSERT_EQUAL(200, served.status);
    int64_t reserved = 0;
    for (const auto& engine : m_engines) {
      std::scoped_lock lock(engine->mutex);
      for (const auto& [id, tokens] : engine->reserved) reserved += tokens;
    }
    const size_t reservations = CountReservations();
    CPPUNIT_ASSERT(reservations >= 1);
    CPPUNIT_ASSERT(reserved >= 5000);
    WaitForReleases(reservations);
  }

  // Guards against memory that grows as long as an engine sends.
  void Stream_EventWithoutEnd_ContinuesAtAnotherEngine() {
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, SignedHeaders(request));
          responder->Write(MakeEvent(0));
          SendForever(responder);
        });
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(1));
      responder->EndStream();
    });
    Configure();
    const auto served = Call("/stream/x");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(1).Count());
    CPPUNIT_ASSERT(served.body.ends_with(MakeEvent(1)));
  }

  // Guards against bytes that are no events of an engine, such as comments.
  void Stream_EventWithoutNumber_IsNotDelivered() {
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(0));
      responder->Write(": x\n\n");
      responder->EndStream();
    });
    Configure();
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0), Call("/stream/x").body);
    CPPUNIT_ASSERT(m_call_failed);
  }

  // Guards against a failed helper that is chosen again and again because the
  // primary engine, which reports the failure, is taken for the cause.
  void Stream_HelperCannotTakePart_IsSentWithoutIt() {
    std::string failed_helper;
    for (size_t i = 0; i < 3; ++i) {
      AddEngine(
          [this, i, &failed_helper](const ServerRequest& request,
                                    const ResponderPtr& responder) {
            if (failed_helper.empty()) {
              failed_helper = AddressOfHelper(i);
              auto headers = NotRunHeaders(request);
              headers.push_back({"Failed", failed_helper});
              responder->Reply(503, std::move(headers), "");
              return;
            }
            responder->BeginStream(200, SignedHeaders(request));
            responder->Write(MakeEvent(0));
            responder->EndStream();
          },
          "models");
    }
    Configure();
    CPPUNIT_ASSERT_EQUAL(200, Call("/model/x", {{"Tokens", "15000"}}).status);
    for (const auto& engine : m_engines) {
      if (engine->address != failed_helper) continue;
      std::scoped_lock lock(engine->mutex);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, engine->requests.size());
      CPPUNIT_ASSERT_EQUAL(size_t{1}, engine->reserved.size());
    }
  }

  // Guards against helper engines keeping reserved memory for 10 s after the
  // primary engine became unresponsive.
  void Stream_StallsWithReservedMemory_ReleasesIt() {
    const auto never_respond = [this](const ServerRequest& /*request*/,
                                      const ResponderPtr& responder) {
      m_open_responders.push_back(responder);
    };
    for (int i = 0; i < 3; ++i) AddEngine(never_respond, "models");
    Configure();
    auto outcome = StartCall("/model/x", {{"Tokens", "15000"}});
    while (CountCalls() == 0) std::this_thread::sleep_for(milliseconds(1));
    WaitForReleases(CountReservations());
    RunOnLoop([this] { m_gateway->AbortAll(); });
    outcome.get();
  }

  // Guards against requests to an engine that started to leave while memory was
  // reserved at helper engines.
  void Stream_EngineLeavesDuringReservation_IsNotSentThere() {
    AddModelEngines();
    for (size_t helper = 0; helper < 3; ++helper) {
      EngineAt(helper).on_reserve = [this, helper] {
        for (size_t i = 0; i < 3; ++i) {
          if (i != helper) MarkLeaving(i);
        }
      };
    }
    const int status = Call("/model/x", {{"Tokens", "15000"}}).status;
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountCalls());
    CPPUNIT_ASSERT_EQUAL(503, status);
    WaitForReleases(CountReservations());
  }

  void Stream_ReservationSaysThatHelperLeaves_IsNotSent() {
    AddModelEngines();
    for (const auto& engine : m_engines) {
      engine->order_headers = {{"Leaving", "1"}};
    }
    const int status = Call("/model/x", {{"Tokens", "15000"}}).status;
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountCalls());
    CPPUNIT_ASSERT_EQUAL(503, status);
    WaitForReleases(CountReservations());
  }

  void Stream_HelperLeavesDuringReservation_IsNotSent() {
    AddModelEngines();
    for (size_t helper = 0; helper < 3; ++helper) {
      EngineAt(helper).on_reserve = [this, helper] { MarkLeaving(helper); };
    }
    const int status = Call("/model/x", {{"Tokens", "15000"}}).status;
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountCalls());
    CPPUNIT_ASSERT_EQUAL(503, status);
    WaitForReleases(CountReservations());
  }

 private:
  /// Starts three engines, of which two are needed for a prompt of 15,000
  /// tokens.
  void AddModelEngines() {
    for (int i = 0; i < 3; ++i) AddEngine(&RespondOk, "models");
    Configure();
  }
  /// Must be called on the loop thread.
  void MarkLeaving(size_t index) {
    discovery::EngineRecord record =
        *m_directory->Find("engine-" + std::to_string(index));
    record.state = discovery::EngineState::kLeaving;
    m_directory->Update(record);
  }
  size_t CountCalls() {
    size_t calls = 0;
    for (const auto& engine : m_engines) calls += engine->Count();
    return calls;
  }
  /// Returns the number of reservations requested from engines.
  /// Sends parts of one event until the connection is closed or the test ends.
  void SendForever(const ResponderPtr& responder) {
    responder->Write(std::string(size_t{16} * 1024, 'x'));
    m_threads->RunAfter(milliseconds(1),
                        [this, responder] { SendForever(responder); });
  }

  /// Returns the address of an engine with reserved memory, other than the
  /// `primary` one.
  std::string AddressOfHelper(size_t primary) {
    for (size_t i = 0; i < m_engines.size(); ++i) {
      std::scoped_lock lock(EngineAt(i).mutex);
      if (i != primary && !EngineAt(i).reserved.empty()) {
        return EngineAt(i).address;
      }
    }
    return "";
  }

  size_t CountReservations() {
    size_t reservations = 0;
    for (const auto& engine : m_engines) {
      std::scoped_lock lock(engine->mutex);
      reservations += engine->reserved.size();
    }
    return reservations;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStreamTest);

}  // namespace
}  // namespace peridotshelf::gateway
