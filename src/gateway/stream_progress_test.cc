#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class StreamProgressTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(StreamProgressTest);
  CPPUNIT_TEST(Stream_OldEventsRepeated_ContinuesAtAnotherEngine);
  CPPUNIT_TEST(Stream_SlowEvents_StaysAtItsEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stalled stream that goes on for ever, since its engine
  // repeats events that the caller has.
  void Stream_OldEventsRepeated_ContinuesAtAnotherEngine() {
    int attempts = 0;
    const auto answer = [&](const ServerRequest& request,
                            const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      if (attempts++ == 0) {
        RepeatFirstEvent(responder);
        return;
      }
      responder->Write(MakeEvent(1));
      responder->EndStream();
    };
    AddEngine(answer);
    AddEngine(answer);
    Configure();
    const auto served = Call("/stream/x", {{"Left", "8000"}});
    CPPUNIT_ASSERT(!m_call_failed);
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1), served.body);
  }

  // Guards against a slow but sound stream that is moved or cut.
  void Stream_SlowEvents_StaysAtItsEngine() {
    const auto stream_slowly = [this](const ServerRequest& request,
                                      const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      SendSlowly(responder, 0);
    };
    AddEngine(stream_slowly);
    AddEngine(stream_slowly);
    Configure();
    std::string events;
    for (int64_t i = 0; i < kSlowEvents; ++i) events += MakeEvent(i);
    CPPUNIT_ASSERT_EQUAL(events, Call("/stream/x").body);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count() + EngineAt(1).Count());
  }

 private:
  static constexpr int64_t kSlowEvents = 5;
  /// Half of the time after which a stream without events moves.
  static constexpr milliseconds kSlowInterval{800};

  void RepeatFirstEvent(const ResponderPtr& responder) {
    responder->Write(MakeEvent(0));
    m_threads->RunAfter(milliseconds(100),
                        [this, weak = std::weak_ptr(responder)] {
                          if (const auto held = weak.lock())
                            RepeatFirstEvent(held);
                        });
    m_open_responders = {responder};
  }
  void SendSlowly(const ResponderPtr& responder, int64_t number) {
    responder->Write(MakeEvent(number));
    if (number + 1 == kSlowEvents) {
      responder->EndStream();
      return;
    }
    m_threads->RunAfter(kSlowInterval, [this, responder, number] {
      SendSlowly(responder, number + 1);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamProgressTest);

}  // namespace
}  // namespace peridotshelf::gateway
