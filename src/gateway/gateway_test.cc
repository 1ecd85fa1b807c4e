#include "peridotshelf/gateway/gateway.h"

#include <atomic>
#include <future>
#include <map>
#include <mutex>

#include "peridotshelf/http/front_server.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {
namespace {

using http::Header;
using http::ResponderPtr;
using http::ServerRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A codec with header names of the tests' own.
MessageCodec TestCodec() {
  MessageCodec codec;
  codec.read_request = [](const ServerRequest& from) -> Result<CallerRequest> {
    CallerRequest request;
    request.id = RequestId(from.FindHeader("Id").value_or(""));
    request.method = from.method;
    request.target = from.target;
    request.path = from.path;
    request.host = "host";
    request.body = std::make_shared<const std::string>(from.body);
    if (const auto key = from.FindHeader("Key")) {
      request.key = std::string(*key);
    }
    if (const auto left = from.FindHeader("Left")) {
      request.time_left = milliseconds(std::stoi(std::string(*left)));
    }
    if (const auto tokens = from.FindHeader("Tokens")) {
      request.prompt = PromptSize{std::stoll(std::string(*tokens)), 100};
    }
    request.headers.push_back({"Id", request.id.value()});
    return request;
  };
  codec.write_call = [](const CallerRequest& request, const EngineCall& call) {
    http::ClientRequest out;
    out.method = request.method;
    out.url = "http://" + call.address;
    out.target = request.target;
    out.headers = request.headers;
    out.headers.push_back({"Team", call.team.value()});
    if (call.resume_after) {
      out.headers.push_back({"After", std::to_string(*call.resume_after)});
    }
    for (const HelperRef& helper : call.helpers) {
      out.headers.push_back({"Helper", helper.reservation});
    }
    out.shared_body = request.body;
    return out;
  };
  codec.read_answer = [](const http::ClientResponseHead& from,
                         const CallerRequest& request) {
    AnswerHead head;
    head.status = from.status;
    head.is_not_run = from.FindHeader("Not-Run").has_value();
    head.names_request = from.FindHeader("Id") == request.id.value();
    head.is_signed = from.FindHeader("Signature").has_value();
    head.headers = {{"Signature", "s"}};
    return head;
  };
  codec.write_reserve = [](const std::string& address, const std::string& id,
                           int64_t tokens, Duration /*hold*/) {
    http::ClientRequest out;
    out.method = "POST";
    out.url = "http://" + address + "/reserve?id=" + id +
              "&tokens=" + std::to_string(tokens);
    return out;
  };
  codec.write_release = [](const std::string& address, const std::string& id) {
    http::ClientRequest out;
    out.method = "POST";
    out.url = "http://" + address + "/release?id=" + id;
    return out;
  };
  return codec;
}

/// An engine whose answers a test scripts.
struct FakeEngine {
  std::string address;
  std::unique_ptr<http::FrontServer> server;
  std::function<void(const ServerRequest&, const ResponderPtr&)> answer;
  std::mutex mutex;
  std::vector<ServerRequest> requests;
  std::map<std::string, int64_t> reserved;
  std::vector<std::string> released;

  size_t Count() {
    std::scoped_lock lock(mutex);
    return requests.size();
  }
};

std::vector<Header> Signed(const ServerRequest& request) {
  return {{"Id", std::string(request.FindHeader("Id").value_or(""))},
          {"Signature", "s"}};
}

void AnswerWell(const ServerRequest& request, const ResponderPtr& responder) {
  responder->Reply(200, Signed(request), "body of " + request.target);
}

void AnswerNotRun(const ServerRequest& /*request*/,
                  const ResponderPtr& responder) {
  responder->Reply(503, {{"Not-Run", "1"}}, "");
}

void BreakOff(const ServerRequest& /*request*/, const ResponderPtr& responder) {
  responder->Abort();
}

void AnswerOfAnother(const ServerRequest& /*request*/,
                     const ResponderPtr& responder) {
  responder->Reply(200, {{"Id", "another"}, {"Signature", "s"}}, "crossed");
}

std::string Event(int64_t number) {
  return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(Handle_NoConfiguration_Answers503);
  CPPUNIT_TEST(Handle_UnknownRouteOrKey_Answers404And401);
  CPPUNIT_TEST(Call_EngineAnswers_CallerGetsItUnchanged);
  CPPUNIT_TEST(Call_EngineSaysNotRun_GoesToAnotherEngine);
  CPPUNIT_TEST(Call_AllEnginesSayNotRun_IsRefusedWithRetryAfter);
  CPPUNIT_TEST(Call_UnrepeatableConnectionLost_IsNotSentAgain);
  CPPUNIT_TEST(Call_IdempotentConnectionLost_IsSentAgain);
  CPPUNIT_TEST(Call_EngineUnreachable_GoesToAnotherEngine);
  CPPUNIT_TEST(Call_AnswerNamesAnotherRequest_IsNeverDelivered);
  CPPUNIT_TEST(Call_EngineFailsIdempotentTwice_CallerGetsItsFailure);
  CPPUNIT_TEST(Call_EngineSilent_IsAnsweredAtTheDeadline);
  CPPUNIT_TEST(Stream_OnlyEngineSilent_IsNotEndedEarly);
  CPPUNIT_TEST(Stream_Whole_ArrivesEventByEvent);
  CPPUNIT_TEST(Stream_BreaksMidway_GoesOnAfterTheLastEvent);
  CPPUNIT_TEST(Stream_EventMissing_IsNotDelivered);
  CPPUNIT_TEST(Stream_NotResumableBreaks_CallerSeesItIncomplete);
  CPPUNIT_TEST(HangUp_RequestRuns_EndsItAtTheEngine);
  CPPUNIT_TEST(RefuseNewStreams_StreamComes_IsRefusedCallIsServed);
  CPPUNIT_TEST(Stream_PromptOverOneEnginesMemory_ReservesAndReleases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_threads = std::make_unique<io::IoThreads>(1);
    m_client = std::make_unique<http::Client>();
    m_callers_client = std::make_unique<http::Client>();
    m_registry = std::make_unique<metrics::Registry>();
    m_directory =
        std::make_unique<discovery::EngineDirectory>(Duration(seconds(1)));
    m_board = std::make_unique<scheduling::LoadBoard>();
    PeerExchangeOptions exchange;
    exchange.own = {"127.0.0.1", testing::FreePort()};
    m_peers = std::move(*PeerExchange::Create(*m_threads, *m_board, exchange));
    GatewayOptions options;
    options.repeats.slack = 100;
    m_gateway = std::make_unique<Gateway>(*m_threads, *m_client, TestCodec(),
                                          *m_directory, *m_board, *m_peers,
                                          *m_registry, options);
    m_port = testing::FreePort();
    m_front = std::move(*http::FrontServer::Create(
        *m_threads, "127.0.0.1", m_port,
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          m_gateway->Handle(request, responder);
        }));
  }

  void tearDown() override {
    m_callers_client.reset();
    m_client.reset();
    m_threads->Stop();
    m_held.clear();
    m_front.reset();
    m_engines.clear();
    m_gateway.reset();
    m_peers.reset();
    m_threads.reset();
  }

  void Handle_NoConfiguration_Answers503() {
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
  }

  void Handle_UnknownRouteOrKey_Answers404And401() {
    Configure();
    CPPUNIT_ASSERT_EQUAL(404, Call("/nowhere/").status);
    CPPUNIT_ASSERT_EQUAL(401, Call("/call/x", {{"Key", "wrong"}}).status);
    CPPUNIT_ASSERT_EQUAL(401, Call("/call/x", {{"Key", ""}}).status);
  }

  void Call_EngineAnswers_CallerGetsItUnchanged() {
    AddEngine(&AnswerWell);
    Configure();
    const auto answer = Call("/call/x?q=%20a");
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/x?q=%20a"), answer.body);
    CPPUNIT_ASSERT(Engine(0).requests[0].FindHeader("Team") == "team");
    CPPUNIT_ASSERT(!Engine(0).requests[0].FindHeader("Key"));
  }

  void Call_EngineSaysNotRun_GoesToAnotherEngine() {
    AddEngine(&AnswerNotRun);
    AddEngine(&AnswerWell);
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, Engine(1).Count());
  }

  void Call_AllEnginesSayNotRun_IsRefusedWithRetryAfter() {
    AddEngine(&AnswerNotRun);
    AddEngine(&AnswerNotRun);
    Configure();
    const auto answer = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
  }

  void Call_UnrepeatableConnectionLost_IsNotSentAgain() {
    AddEngine(&BreakOff);
    AddEngine(&BreakOff);
    Configure();
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Engine(0).Count() + Engine(1).Count());
  }

  void Call_IdempotentConnectionLost_IsSentAgain() {
    AddEngine(&BreakOff);
    AddEngine(&AnswerWell);
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    }
  }

  void Call_EngineUnreachable_GoesToAnotherEngine() {
    AddEngine(&AnswerWell);
    Register("gone", "127.0.0.1:" + std::to_string(testing::FreePort()),
             "calls");
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    }
  }

  void Call_AnswerNamesAnotherRequest_IsNeverDelivered() {
    AddEngine(&AnswerOfAnother);
    Configure();
    const auto answer = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
    CPPUNIT_ASSERT(answer.body.find("crossed") == std::string::npos);
  }

  void Call_EngineFailsIdempotentTwice_CallerGetsItsFailure() {
    const auto fail = [](const ServerRequest& request,
                         const ResponderPtr& responder) {
      responder->Reply(500, Signed(request), "failure");
    };
    AddEngine(fail);
    AddEngine(fail);
    Configure();
    const auto answer = Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(500, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("failure"), answer.body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Engine(0).Count() + Engine(1).Count());
  }

  void Call_EngineSilent_IsAnsweredAtTheDeadline() {
    AddEngine([this](const ServerRequest&, const ResponderPtr& responder) {
      m_held.push_back(responder);
    });
    Configure();
    const TimePoint began = SteadyClock().Now();
    CPPUNIT_ASSERT_EQUAL(504, Call("/post/x", {{"Left", "300"}}).status);
    const Duration took = SteadyClock().Now() - began;
    CPPUNIT_ASSERT(took >= milliseconds(300) && took < milliseconds(800));
  }

  void Stream_OnlyEngineSilent_IsNotEndedEarly() {
    AddEngine(
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, Signed(request));
          responder->Write(Event(0));
          // Longer than a silence that would move the stream to another engine.
          m_threads->After(milliseconds(1900), [responder] {
            responder->Write(Event(1));
            responder->EndStream();
          });
        });
    Configure();
    CPPUNIT_ASSERT_EQUAL(Event(0) + Event(1), Call("/stream/x").body);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Engine(0).Count());
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

  void HangUp_RequestRuns_EndsItAtTheEngine() {
    std::promise<void> running;
    std::promise<void> ended;
    AddEngine([&](const ServerRequest&, const ResponderPtr& responder) {
      m_held.push_back(responder);
      responder->OnHangUp([&ended] { ended.set_value(); });
      running.set_value();
    });
    Configure();
    const auto call = m_callers_client->Start(MakeRequest("/call/x", {}), {});
    running.get_future().get();
    m_callers_client->Cancel(call);
    CPPUNIT_ASSERT(ended.get_future().wait_for(milliseconds(500)) ==
                   std::future_status::ready);
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
    size_t holders = 0;
    for (const auto& engine : m_engines) {
      std::scoped_lock lock(engine->mutex);
      for (const auto& [id, tokens] : engine->reserved) reserved += tokens;
      holders += engine->reserved.size();
    }
    CPPUNIT_ASSERT(holders >= 1);
    CPPUNIT_ASSERT(reserved >= 5000);
    WaitForReleases(holders);
  }

 private:
  FakeEngine& Engine(size_t index) { return *m_engines[index]; }

  void OnLoop(const std::function<void()>& act) {
    std::promise<void> done;
    m_threads->Post([&] {
      act();
      done.set_value();
    });
    done.get_future().get();
  }

  void Register(const std::string& id, const std::string& address,
                const std::string& service) {
    OnLoop([&] {
      discovery::EngineRecord record;
      record.id = id;
      record.service = service;
      record.address = address;
      record.slots = 4;
      m_directory->Update(record);
    });
  }

  void AddEngine(
      std::function<void(const ServerRequest&, const ResponderPtr&)> answer,
      const std::string& service = "calls") {
    auto engine = std::make_unique<FakeEngine>();
    const uint16_t port = testing::FreePort();
    engine->address = "127.0.0.1:" + std::to_string(port);
    engine->answer = std::move(answer);
    FakeEngine& made = *engine;
    engine->server = std::move(*http::FrontServer::Create(
        *m_threads, "127.0.0.1", port,
        [&made](const ServerRequest& request, const ResponderPtr& responder) {
          ServeEngine(made, request, responder);
        }));
    Register("engine-" + std::to_string(m_engines.size()), engine->address,
             service);
    m_engines.push_back(std::move(engine));
  }

  static void ServeEngine(FakeEngine& engine, const ServerRequest& request,
                          const ResponderPtr& responder) {
    std::function<void(const ServerRequest&, const ResponderPtr&)> answer;
    {
      std::scoped_lock lock(engine.mutex);
      const std::string id(request.FindQuery("id").value_or(""));
      if (request.path == "/reserve") {
        engine.reserved[id] =
            std::stoll(std::string(*request.FindQuery("tokens")));
        responder->Reply(200, {}, "");
        return;
      }
      if (request.path == "/release") {
        engine.released.push_back(id);
        responder->Reply(200, {}, "");
        return;
      }
      engine.requests.push_back(request);
      answer = engine.answer;
    }
    answer(request, responder);
  }

  void WaitForReleases(size_t holders) {
    const TimePoint until = SteadyClock().Now() + seconds(2);
    size_t released = 0;
    while (released < holders && SteadyClock().Now() < until) {
      std::this_thread::sleep_for(milliseconds(5));
      released = 0;
      for (const auto& engine : m_engines) {
        std::scoped_lock lock(engine->mutex);
        released += engine->released.size();
      }
    }
    CPPUNIT_ASSERT_EQUAL(holders, released);
  }

  static routing::Route MakeRoute(const std::string& prefix,
                                  const std::string& service,
                                  routing::Repetition repetition,
                                  bool resumable = false) {
    routing::Route route;
    route.name = prefix;
    route.host = "host";
    route.path_prefix = prefix;
    route.repetition = repetition;
    route.resumable = resumable;
    route.max_attempts = 2;
    route.latency_objective = milliseconds(200);
    route.caller_patience = seconds(2);
    route.services = {{service, 1}};
    return route;
  }

  void Configure() {
    using routing::Repetition;
    routing::Service models;
    models.name = "models";
    routing::EngineSpeed speed;
    speed.slots = 4;
    speed.memory_tokens = 10000;
    speed.step_ms = 0.1;
    models.speed = speed;
    routing::Service calls;
    calls.name = "calls";
    auto made = std::make_shared<const routing::Configuration>(
        routing::Configuration::Builder()
            .SetVersion(1)
            .AddService(calls)
            .AddService(models)
            .AddRoute(MakeRoute("/call/", "calls", Repetition::kIdempotent))
            .AddRoute(MakeRoute("/post/", "calls", Repetition::kUnrepeatable))
            .AddRoute(MakeRoute("/stream/", "calls", Repetition::kStream, true))
            .AddRoute(MakeRoute("/once/", "calls", Repetition::kStream))
            .AddRoute(MakeRoute("/model/", "models", Repetition::kStream, true))
            .AddTeam({TeamId("team"), {"right"}, {}})
            .SetKeysRequired(true)
            .Build());
    OnLoop([&] { m_gateway->SetConfiguration(made); });
  }

  http::ClientRequest MakeRequest(const std::string& target,
                                  std::vector<Header> headers) const {
    http::ClientRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(m_port) + target;
    request.headers = std::move(headers);
    request.headers.push_back({"Id", "request-1"});
    if (!http::FindHeader(request.headers, "Key")) {
      request.headers.push_back({"Key", "right"});
    }
    request.timeout = seconds(10);
    return request;
  }

  http::ClientResponse Call(const std::string& target,
                            std::vector<Header> headers = {}) {
    std::promise<void> done;
    http::ClientResponse response;
    http::ClientCallbacks callbacks;
    m_retry_after.clear();
    callbacks.on_head = [&](const http::ClientResponseHead& head) {
      response.status = head.status;
      m_retry_after = head.FindHeader("Retry-After").value_or("");
    };
    callbacks.on_data = [&](std::string_view data) {
      response.body.append(data);
    };
    callbacks.on_done = [&](const Result<int>& outcome) {
      m_failed = !outcome.has_value();
      done.set_value();
    };
    m_callers_client->Start(MakeRequest(target, std::move(headers)),
                            std::move(callbacks));
    done.get_future().get();
    return response;
  }

  std::unique_ptr<io::IoThreads> m_threads;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<http::Client> m_callers_client;
  std::unique_ptr<metrics::Registry> m_registry;
  std::unique_ptr<discovery::EngineDirectory> m_directory;
  std::unique_ptr<scheduling::LoadBoard> m_board;
  std::unique_ptr<PeerExchange> m_peers;
  std::unique_ptr<Gateway> m_gateway;
  std::unique_ptr<http::FrontServer> m_front;
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  std::vector<ResponderPtr> m_held;
  uint16_t m_port = 0;
  std::string m_retry_after;
  bool m_failed = false;
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(Feed_AnyCuts_YieldsTheSameEvents);
  CPPUNIT_TEST(EventNumber_WithAndWithoutId_IsItsNumberOrNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Feed_AnyCuts_YieldsTheSameEvents() {
    testing::CheckProperty("any cuts", [](const std::vector<uint8_t>& cuts) {
      const std::string all = Event(0) + Event(1) + "id: 2\r\ndata: y\r\n\r\n";
      EventSplitter splitter;
      std::string joined;
      size_t events = 0;
      std::string_view rest = all;
      const auto feed = [&](size_t length) {
        for (const std::string& event : splitter.Feed(rest.substr(0, length))) {
          joined += event;
          ++events;
        }
        rest.remove_prefix(length);
      };
      for (const uint8_t cut : cuts) feed(std::min<size_t>(rest.size(), cut));
      feed(rest.size());
      RC_ASSERT(events == 3u);
      RC_ASSERT(joined == all);
      RC_ASSERT(!splitter.HasRest());
    });
  }
  void EventNumber_WithAndWithoutId_IsItsNumberOrNothing() {
    CPPUNIT_ASSERT_EQUAL(int64_t{12},
                         EventNumber("data: x\nid: 12\n\n").value());
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, EventNumber("id:3\r\n\r\n").value());
    CPPUNIT_ASSERT(!EventNumber("data: x\n\n"));
    CPPUNIT_ASSERT(!EventNumber("id: x\n\n"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace
}  // namespace peridotshelf::gateway
