/// Engines with scripted responses, for the tests of the gateway.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fixture_codec.h"

namespace peridotshelf::gateway {

/// An engine with scripted responses.
struct FakeEngine {
  std::string address;
  std::unique_ptr<http::FrontServer> server;
  std::function<void(const ServerRequest&, const ResponderPtr&)> handler;
  /// Called on the loop thread before a reservation is granted.
  std::function<void()> on_reserve = [] {};
  std::mutex mutex;
  std::vector<ServerRequest> requests;
  std::map<std::string, int64_t> reserved;
  /// Headers of the answers to reservations.
  std::vector<Header> order_headers;
  std::vector<std::string> released;

  size_t Count() {
    std::scoped_lock lock(mutex);
    return requests.size();
  }
};

inline std::vector<Header> SignedHeaders(const ServerRequest& request) {
  return {{"Id", std::string(request.FindHeader("Id").value_or(""))},
          {"Signature", "s"}};
}

inline void RespondOk(const ServerRequest& request,
                      const ResponderPtr& responder) {
  responder->Reply(200, SignedHeaders(request), "body of " + request.target);
}

/// Responds like `RespondOk` and states a limit of one request per second.
inline void RespondWithLimit(const ServerRequest& request,
                             const ResponderPtr& responder) {
  auto headers = SignedHeaders(request);
  headers.push_back({"Limit", "1"});
  responder->Reply(200, std::move(headers), "limited");
}

/// Responds like `RespondOk` and says that the engine leaves.
inline void RespondLeaving(const ServerRequest& request,
                           const ResponderPtr& responder) {
  auto headers = SignedHeaders(request);
  headers.push_back({"Leaving", "1"});
  responder->Reply(200, std::move(headers), "leaving");
}

inline std::vector<Header> NotRunHeaders(const ServerRequest& request) {
  return {{"Id", std::string(request.FindHeader("Id").value_or(""))},
          {"Not-Run", "1"}};
}

inline void RespondNotRun(const ServerRequest& request,
                          const ResponderPtr& responder) {
  responder->Reply(503, NotRunHeaders(request), "");
}

/// Responds like `RespondNotRun` and asks for a pause.
inline void RespondWithPause(const ServerRequest& request,
                             const ResponderPtr& responder) {
  auto headers = NotRunHeaders(request);
  headers.push_back({"Pause-Ms", "900"});
  responder->Reply(503, std::move(headers), "");
}

inline void AbortConnection(const ServerRequest& /*request*/,
                            const ResponderPtr& responder) {
  responder->Abort();
}

inline void RespondToAnotherRequest(const ServerRequest& /*request*/,
                                    const ResponderPtr& responder) {
  responder->Reply(200, {{"Id", "another"}, {"Signature", "s"}}, "crossed");
}

inline std::string MakeEvent(int64_t number) {
  return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

}  // namespace peridotshelf::gateway
