#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class SilentMachinesTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(SilentMachinesTest);
  CPPUNIT_TEST(Registration_EndsWhileRequestsRun_TheyAreNotRepeated);
  CPPUNIT_TEST(Leaving_ToldWhileRequestsRun_TheyAreNotRepeated);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guard against running requests that are sent elsewhere or given up because
  // their engine is slow to report, or leaves.
  void Registration_EndsWhileRequestsRun_TheyAreNotRepeated() {
    CheckRunningRequests(
        [this] { m_directory->Remove("engine-0", SteadyClock().Now()); });
  }
  void Leaving_ToldWhileRequestsRun_TheyAreNotRepeated() {
    CheckRunningRequests([this] {
      m_directory->NoteToldLeaving(
          m_directory->FindReadyAt(EngineAt(0).address)->Key(),
          SteadyClock().Now());
    });
  }

 private:
  /// Runs `end_engine` while engine 0 runs a call and a stream, with another
  /// engine that could take them.
  void CheckRunningRequests(const std::function<void()>& end_engine) {
    std::vector<ServerRequest> requests;
    std::promise<void> all_running;
    AddEngine([&](const ServerRequest& request, const ResponderPtr& responder) {
      requests.push_back(request);
      m_open_responders.push_back(responder);
      if (requests.size() == 2) all_running.set_value();
    });
    Configure();
    auto call = StartCall("/call/x");
    auto stream = StartCall("/stream/x");
    all_running.get_future().get();
    AddEngine(&RespondOk);
    RunOnLoop([&] {
      end_engine();
      m_gateway->NoteEnginesChanged();
    });
    std::this_thread::sleep_for(milliseconds(300));
    RunOnLoop([&] {
      for (size_t i = 0; i < requests.size(); ++i) {
        if (requests[i].path == "/call/x") {
          RespondOk(requests[i], m_open_responders[i]);
          continue;
        }
        m_open_responders[i]->BeginStream(200, SignedHeaders(requests[i]));
        m_open_responders[i]->Write(MakeEvent(0));
        m_open_responders[i]->EndStream();
      }
    });
    CPPUNIT_ASSERT(call.get() == std::string("body of /call/x"));
    CPPUNIT_ASSERT(stream.get() == MakeEvent(0));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(1).Count());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SilentMachinesTest);

}  // namespace
}  // namespace peridotshelf::gateway
