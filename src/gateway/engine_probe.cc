#include "engine_probe.h"

#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <utility>

#include "engine_address.h"

namespace peridotshelf::gateway {
namespace {

using asio::ip::tcp;

/// One run of `ProbeAddress`. Used on one thread.
class Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(io::IoThreads& threads, tcp::endpoint endpoint,
        Duration min_connection_life,
        std::function<void(ProbeVerdict)> on_verdict)
      : m_threads(threads),
        m_endpoint(std::move(endpoint)),
        m_min_connection_life(min_connection_life),
        m_socket(threads.context()),
        m_on_verdict(std::move(on_verdict)) {}

  void Connect() {
    m_socket.async_connect(
        m_endpoint, [self = shared_from_this()](const asio::error_code& error) {
          self->OnConnected(error);
        });
  }

  void Finish(ProbeVerdict verdict) {
    if (std::exchange(m_is_done, true)) return;
    asio::error_code ignored;
    m_socket.close(ignored);
    m_on_verdict(verdict);
  }

 private:
  void OnConnected(const asio::error_code& error) {
    if (m_is_done) return;
    // The process may close the port before the connection is reported.
    if (error == asio::error::connection_reset && !m_is_connecting_again) {
      ConnectAgain();
      return;
    }
    if (error) {
      Finish(error == asio::error::connection_refused
                 ? ProbeVerdict::kRefused
                 : ProbeVerdict::kNoAnswer);
      return;
    }
    // An engine that closes every idle connection at once is running.
    if (m_is_connecting_again) {
      Finish(ProbeVerdict::kListening);
      return;
    }
    m_socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const asio::error_code& /*closed*/) {
          self->ConnectAgain();
        });
    m_threads.RunAfter(m_min_connection_life, [self = shared_from_this()] {
      if (!self->m_is_connecting_again) self->Finish(ProbeVerdict::kListening);
    });
  }

  void ConnectAgain() {
    if (m_is_done) return;
    m_is_connecting_again = true;
    asio::error_code ignored;
    m_socket.close(ignored);
    Connect();
  }

  io::IoThreads& m_threads;
  tcp::endpoint m_endpoint;
  Duration m_min_connection_life;
  tcp::socket m_socket;
  std::function<void(ProbeVerdict)> m_on_verdict;
  bool m_is_connecting_again = false;
  bool m_is_done = false;
};

}  // namespace

std::string_view ToString(ProbeVerdict verdict) {
  switch (verdict) {
    case ProbeVerdict::kRefused:
      return "refused";
    case ProbeVerdict::kListening:
      return "listening";
    case ProbeVerdict::kReplaced:
      return "replaced";
    case ProbeVerdict::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

void ProbeAddress(io::IoThreads& threads, const std::string& address,
                  const ProbeTimes& times,
                  std::function<void(ProbeVerdict)> on_verdict) {
  const auto endpoint = ParseAddress(address);
  const auto probe =
      std::make_shared<Probe>(threads, endpoint.value_or(tcp::endpoint()),
                              times.min_connection_life, std::move(on_verdict));
  if (!endpoint) {
    threads.Post([probe] { probe->Finish(ProbeVerdict::kNoAnswer); });
    return;
  }
  probe->Connect();
  threads.RunAfter(times.timeout,
                   [probe] { probe->Finish(ProbeVerdict::kNoAnswer); });
}

}  // namespace peridotshelf::gateway
