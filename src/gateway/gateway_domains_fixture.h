/// Fixture with engines in failure domains.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace peridotshelf::gateway {

inline void RespondWithEvent(const ServerRequest& request,
                             const ResponderPtr& responder) {
  responder->BeginStream(200, SignedHeaders(request));
  responder->Write(MakeEvent(0));
  responder->EndStream();
}

class GatewayDomainsFixture : public GatewayFixture {
 protected:
  void AddEngineIn(
      const std::string& domain,
      std::function<void(const ServerRequest&, const ResponderPtr&)> handler,
      const std::string& service = "calls") {
    AddEngine(std::move(handler), service);
    PutIntoDomain("engine-" + std::to_string(m_engines.size() - 1), domain);
  }
  void PutIntoDomain(const std::string& engine, const std::string& domain) {
    RunOnLoop([&] {
      discovery::EngineRecord record = *m_directory->Find(engine);
      record.failure_domain = FailureDomain(domain);
      m_directory->Update(record);
    });
  }
  /// Must be called on the loop thread.
  void SetEvacuated(const std::vector<std::string>& names) {
    std::vector<FailureDomain> domains;
    for (const std::string& name : names) domains.emplace_back(name);
    m_directory->SetEvacuatedDomains(domains);
    m_gateway->NoteEnginesChanged();
  }
  void Evacuate(const std::vector<std::string>& names) {
    RunOnLoop([&] { SetEvacuated(names); });
  }
  void WaitForQueue() {
    const TimePoint deadline = SteadyClock().Now() + seconds(10);
    size_t queued = 0;
    while (queued == 0) {
      CPPUNIT_ASSERT(SteadyClock().Now() < deadline);
      std::this_thread::sleep_for(milliseconds(1));
      RunOnLoop([&] { queued = m_gateway->CountQueued(); });
    }
  }
};

}  // namespace peridotshelf::gateway
