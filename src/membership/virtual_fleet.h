/// Many members joined by queues in virtual time, for tests and measurements.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "peridotshelf/membership/membership.h"

namespace peridotshelf::membership {

/// Bytes of a gossip message as a UDP payload.
inline size_t EncodedBytes(const wire::Gossip& message) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  return message.write(&protocol);
}

/// Runs members in steps of 50 ms; a message takes one step.
class VirtualFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(50);

  explicit VirtualFleet(size_t count, MembershipOptions options = {}) {
    for (size_t i = 0; i < count; ++i) {
      m_hosts.emplace_back("host-" + std::to_string(i));
    }
    for (size_t i = 0; i < count; ++i) {
      m_nodes.push_back({Membership(m_hosts[i], 1, options, i + 1), 0, false});
      m_index[m_hosts[i]] = i;
      m_nodes.back().member.SetListed(m_hosts);
    }
  }

  Membership& at(size_t i) { return m_nodes[i].member; }
  const HostId& host(size_t i) const { return m_hosts[i]; }
  /// Payload bytes that member `i` has sent and received.
  size_t bytes(size_t i) const { return m_nodes[i].bytes; }
  void ResetBytes() {
    for (Node& node : m_nodes) node.bytes = 0;
  }
  /// Stops or wakes a member; what is sent to a stopped one is lost.
  void SetStopped(size_t i, bool stopped) { m_nodes[i].stopped = stopped; }
  /// Members below `boundary` and the others do not hear each other; 0 heals.
  void Cut(size_t boundary) { m_boundary = boundary; }

  void Run(Duration span) {
    for (Duration done{}; done < span; done += kStep) Step();
  }
  /// Runs until `condition` holds or `limit` has passed; yields the time taken.
  template <class Condition>
  Duration RunUntil(Condition condition, Duration limit) {
    Duration done{};
    for (; done < limit && !condition(); done += kStep) Step();
    return done;
  }

 private:
  struct Node {
    Membership member;
    size_t bytes;
    bool stopped;
  };

  void Step() {
    m_now += kStep;
    std::vector<std::pair<size_t, Outgoing>> arriving;
    arriving.swap(m_sent);
    for (const auto& [from, outgoing] : arriving) {
      const size_t to = m_index.at(outgoing.to);
      const bool cut = (from < m_boundary) != (to < m_boundary);
      if (cut || m_nodes[to].stopped) continue;
      m_nodes[to].bytes += EncodedBytes(outgoing.message);
      Send(to, m_nodes[to].member.OnMessage(outgoing.message, m_now));
    }
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (!m_nodes[i].stopped) Send(i, m_nodes[i].member.Tick(m_now));
    }
  }

  void Send(size_t from, std::vector<Outgoing> outgoing) {
    for (Outgoing& one : outgoing) {
      m_nodes[from].bytes += EncodedBytes(one.message);
      m_sent.emplace_back(from, std::move(one));
    }
  }

  std::vector<HostId> m_hosts;
  std::vector<Node> m_nodes;
  std::map<HostId, size_t> m_index;
  std::vector<std::pair<size_t, Outgoing>> m_sent;
  size_t m_boundary = 0;
  TimePoint m_now{std::chrono::hours(1)};
};

}  // namespace peridotshelf::membership
