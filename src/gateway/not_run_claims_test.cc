#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class NotRunClaimsTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(NotRunClaimsTest);
  CPPUNIT_TEST(Call_NotRunOfAnotherRequest_IsNoProof);
  CPPUNIT_TEST(Call_RefusedAfterAPossibleRun_CallerIsNotToldNotRun);
  CPPUNIT_TEST(Call_LostAfterAnEnginesRefusal_CallerIsNotToldNotRun);
  CPPUNIT_TEST(Call_OnlyEngineRefuses_StatusIsUnchanged);
  CPPUNIT_TEST(Call_LostAndThenOutOfTime_Returns504);
  CPPUNIT_TEST(AbortAll_QueuedAndRunning_OnlyTheQueuedOneIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of an unrepeatable request, whose engine
  // answered with the refusal of another one.
  void Call_NotRunOfAnotherRequest_IsNoProof() {
    const auto refuse_another = [](const ServerRequest&,
                                   const ResponderPtr& responder) {
      responder->Reply(503, {{"Not-Run", "1"}, {"Id", "another"}}, "");
    };
    AddEngine(refuse_another);
    AddEngine(refuse_another);
    Configure();
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count() + EngineAt(1).Count());
  }

  // Guards against an engine's refusal that is passed on although an earlier
  // attempt may have run.
  void Call_RefusedAfterAPossibleRun_CallerIsNotToldNotRun() {
    for (const int status : {408, 421, 429, 503}) {
      CPPUNIT_ASSERT_EQUAL(502, CallWithAnswers({0, status}));
    }
  }

  // Guards against the refusal of a first engine that is passed on although the
  // second one may have run the request.
  void Call_LostAfterAnEnginesRefusal_CallerIsNotToldNotRun() {
    CPPUNIT_ASSERT_EQUAL(502, CallWithAnswers({503, 0}));
    CPPUNIT_ASSERT_EQUAL(500, CallWithAnswers({500, 0}));
  }

  void Call_OnlyEngineRefuses_StatusIsUnchanged() {
    CPPUNIT_ASSERT_EQUAL(429, CallWithAnswers({429}));
  }

  // Guards against 503 at the deadline for a request that was lost at an
  // engine before.
  void Call_LostAndThenOutOfTime_Returns504() {
    int calls = 0;
    AddEngines([&](const ServerRequest&, const ResponderPtr& responder) {
      if (calls++ == 0) {
        responder->Abort();
      } else {
        m_open_responders.push_back(responder);
      }
    });
    CPPUNIT_ASSERT_EQUAL(504, Call("/call/x", {{"Left", "400"}}).status);
  }

  // Guards against a planned stop that tells the caller of a running request
  // that it has not run, or that gives a queued one no proof that it has not.
  void AbortAll_QueuedAndRunning_OnlyTheQueuedOneIsRefused() {
    std::promise<void> all_running;
    AddEngine(
        [&](const ServerRequest&, const ResponderPtr& responder) {
          m_open_responders.push_back(responder);
          if (m_open_responders.size() == kSlots) all_running.set_value();
        },
        "models");
    Configure();
    std::vector<std::future<int>> running;
    for (size_t i = 0; i < kSlots; ++i) running.push_back(StartForStatus());
    all_running.get_future().get();
    auto queued = StartForStatus();
    size_t waiting = 0;
    while (waiting == 0) {
      RunOnLoop([&] { waiting = m_gateway->CountQueued(); });
    }
    RunOnLoop([this] { m_gateway->AbortAll(); });
    CPPUNIT_ASSERT_EQUAL(503, queued.get());
    for (auto& status : running) CPPUNIT_ASSERT_EQUAL(504, status.get());
  }

 private:
  static constexpr size_t kSlots = 4;

  void AddEngines(const std::function<void(const ServerRequest&,
                                           const ResponderPtr&)>& handler) {
    AddEngine(handler);
    AddEngine(handler);
    Configure();
  }

  /// Makes one idempotent call of which the engines answer one attempt after
  /// the other with `statuses`, 0 for a lost connection.
  int CallWithAnswers(const std::vector<int>& statuses) {
    size_t next = 0;
    const auto answer = [&](const ServerRequest& request,
                            const ResponderPtr& responder) {
      const int status = statuses.at(std::min(next++, statuses.size() - 1));
      if (status == 0) {
        responder->Abort();
      } else {
        responder->Reply(status, SignedHeaders(request), "");
      }
    };
    if (m_engines.empty()) {
      AddEngines(answer);
    } else {
      for (const auto& engine : m_engines) {
        const std::scoped_lock lock(engine->mutex);
        engine->handler = answer;
      }
    }
    const int status = Call("/call/x").status;
    CPPUNIT_ASSERT_EQUAL(statuses.size(), next);
    return status;
  }

  /// Starts a stream; its future yields the status.
  std::future<int> StartForStatus() {
    auto status = std::make_shared<std::promise<int>>();
    http::ClientCallbacks callbacks;
    callbacks.on_done = [status](const Result<int>& outcome) {
      status->set_value(outcome.value_or(0));
    };
    m_callers_client->Start(MakeRequest("/model/x", {}), std::move(callbacks));
    return status->get_future();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NotRunClaimsTest);

}  // namespace
}  // namespace peridotshelf::gateway
