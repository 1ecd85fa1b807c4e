/// Fixture with engines whose answers to single arrivals are scripted.
#pragma once

#include "gateway_fixture.h"

namespace peridotshelf::gateway {

/// Time in which a hedge that is allowed would be sent: many times the few
/// milliseconds that the prepared calls took.
inline constexpr auto kTimeForHedge = milliseconds(400);
inline constexpr auto kLongestWait = seconds(5);
/// Calls that make the distribution known and leave room in the limits.
inline constexpr int kPreparedCalls = 30;

/// Has engines that answer at once until `Script` is called. From then on the
/// n-th arrival, at whichever engine, runs the n-th step; further arrivals are
/// answered at once.
class HedgeFixture : public GatewayFixture {
 public:
  void tearDown() override {
    m_callers_client.reset();
    // The servers of the engines must outlive the responders.
    RunOnLoop([&] {
      m_steps.clear();
      m_held.clear();
    });
    GatewayFixture::tearDown();
  }

 protected:
  using Step = std::function<void(const ServerRequest&, const ResponderPtr&)>;

  explicit HedgeFixture(double share) {
    m_options.hedging = scheduling::HedgeOptions::Builder()
                            .SetRequestShare(share)
                            .SetMinSamples(5)
                            .Build();
  }

  void AddEngines(size_t count, const std::string& service = "calls") {
    for (size_t i = 0; i < count; ++i) {
      AddEngine(
          [this](const ServerRequest& request, const ResponderPtr& responder) {
            Serve(request, responder);
          },
          service);
    }
    Configure();
  }

  void Prepare(const std::string& target, std::vector<Header> headers = {}) {
    for (int i = 0; i < kPreparedCalls; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call(target, headers).status);
    }
  }

  void Script(std::vector<Step> steps) {
    for (const char* outcome : {"won", "lost", "failed", "cancelled",
                                "not_sent_limit", "not_sent_load"}) {
      m_counted_before[outcome] = ReadCounter(outcome);
    }
    RunOnLoop([&] {
      m_steps = std::move(steps);
      m_held.clear();
      m_arrivals = 0;
    });
  }

  /// Holds the request; its answer may come from a later step.
  Step Hold() {
    return [this](const ServerRequest& request, const ResponderPtr& responder) {
      m_held.push_back({request, responder});
      responder->OnDisconnect([this] { ++m_cancelled; });
    };
  }

  /// Fails the held request, and answers this one later, so that a hedge that
  /// ends with the first attempt leaves no answer.
  Step FailFirstThenRespond() {
    return [this](const ServerRequest& request, const ResponderPtr& responder) {
      m_held[0].responder->Abort();
      m_threads->RunAfter(milliseconds(50), [request, responder] {
        RespondOk(request, responder);
      });
    };
  }

  Step FailThenRespondToFirst() {
    return [this](const ServerRequest& /*request*/,
                  const ResponderPtr& responder) {
      responder->Abort();
      m_threads->RunAfter(milliseconds(50), [this] {
        RespondOk(m_held[0].request, m_held[0].responder);
      });
    };
  }

  Step BothRun(const Step& step) {
    return [this, step](const ServerRequest& request,
                        const ResponderPtr& responder) {
      step(m_held[0].request, m_held[0].responder);
      step(request, responder);
    };
  }

  bool WaitUntil(const std::function<bool()>& holds) {
    const TimePoint deadline = SteadyClock().Now() + kLongestWait;
    while (SteadyClock().Now() < deadline) {
      bool is_true = false;
      RunOnLoop([&] { is_true = holds(); });
      if (is_true) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }
  void WaitForArrivals(int arrivals) {
    CPPUNIT_ASSERT(WaitUntil([&] { return m_arrivals >= arrivals; }));
  }
  void CheckCancelled(int attempts) {
    CPPUNIT_ASSERT(WaitUntil([&] { return m_cancelled >= attempts; }));
  }
  void CheckArrivals(int arrivals) {
    int seen = 0;
    RunOnLoop([&] { seen = m_arrivals; });
    CPPUNIT_ASSERT_EQUAL(arrivals, seen);
  }
  void CheckNoLoadIsLeft() {
    size_t engines = 0;
    size_t requests = 0;
    RunOnLoop([&] {
      engines = m_active_request_table->EnginesWithLocalRequests().size();
      requests = m_gateway->CountRunning();
    });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, engines);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, requests);
  }

  /// Returns the outcomes counted since `Script`. On a busy machine a prepared
  /// call may be hedged, too.
  int Counted(const std::string& outcome) {
    return ReadCounter(outcome) - m_counted_before[outcome];
  }
  void CheckCounted(const std::string& outcome) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome, 1, Counted(outcome));
  }

  /// Checks that a request that is held at its engine is not hedged.
  void CheckNotHedged(const std::string& target,
                      std::vector<Header> headers = {}) {
    Script({Hold()});
    auto answer = StartCall(target, std::move(headers));
    WaitForArrivals(1);
    std::this_thread::sleep_for(kTimeForHedge);
    CheckArrivals(1);
    RunOnLoop([&] { RespondOk(m_held[0].request, m_held[0].responder); });
    CPPUNIT_ASSERT_EQUAL("body of " + target, answer.get().value_or("cut"));
  }
  /// The same for a stream.
  void CheckStreamNotHedged(const std::string& target,
                            std::vector<Header> headers = {}) {
    Script({Hold()});
    auto answer = StartCall(target, std::move(headers));
    WaitForArrivals(1);
    std::this_thread::sleep_for(kTimeForHedge);
    CheckArrivals(1);
    RunOnLoop(
        [&] { RespondWithStream(m_held[0].request, m_held[0].responder); });
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1), answer.get().value_or("cut"));
  }

  static void RespondWithStream(const ServerRequest& request,
                                const ResponderPtr& responder) {
    responder->BeginStream(200, SignedHeaders(request));
    responder->Write(MakeEvent(1));
    responder->EndStream();
  }

  struct HeldRequest {
    ServerRequest request;
    ResponderPtr responder;
  };
  /// Used on the loop thread.
  std::vector<Step> m_steps;
  std::vector<HeldRequest> m_held;
  int m_arrivals = 0;
  int m_cancelled = 0;

 private:
  std::map<std::string, int> m_counted_before;

  int ReadCounter(const std::string& outcome) {
    const std::string text = m_registry->Render();
    const std::string series =
        "peridotshelf_hedges_total{outcome=\"" + outcome + "\"} ";
    const size_t found = text.find(series);
    return found == std::string::npos
               ? 0
               : std::stoi(text.substr(found + series.size()));
  }
  void Serve(const ServerRequest& request, const ResponderPtr& responder) {
    const auto arrival = static_cast<size_t>(m_arrivals++);
    if (arrival < m_steps.size()) {
      m_steps[arrival](request, responder);
      return;
    }
    // Long against the noise of a busy machine, so that the distribution is
    // narrow, and enough engine time for a hedge.
    m_threads->RunAfter(milliseconds(12), [request, responder] {
      if (request.path.starts_with("/call/") ||
          request.path.starts_with("/post/")) {
        RespondOk(request, responder);
      } else {
        RespondWithStream(request, responder);
      }
    });
  }
};

}  // namespace peridotshelf::gateway
