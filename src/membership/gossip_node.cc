#include "peridotshelf/membership/gossip_node.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "peridotshelf/events/log.h"

namespace peridotshelf::membership {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using asio::ip::udp;

/// Datagrams stay below the usual MTU, so that none is fragmented.
constexpr size_t kMaxDatagramBytes = 1400;
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

std::string Encode(const wire::Gossip& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

Result<wire::Gossip> Decode(std::span<uint8_t> bytes) {
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
        bytes.data(), static_cast<uint32_t>(bytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, static_cast<int32_t>(kMaxDatagramBytes),
        static_cast<int32_t>(kMaxDatagramBytes));
    wire::Gossip message;
    message.read(&protocol);
    return message;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kProtocol, error.what());
  }
}

/// Grows from one start of a process to the next, so that a restarted member
/// refutes its own death.
int64_t FirstIncarnation() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

struct GossipNode::Impl : std::enable_shared_from_this<Impl> {
  Impl(io::IoThreads& io, const GossipNodeOptions& node_options,
       GossipCallbacks node_callbacks)
      : threads(io),
        options(node_options),
        callbacks(std::move(node_callbacks)),
        socket(io.context()),
        membership(node_options.self, FirstIncarnation(),
                   node_options.membership, std::random_device{}()) {}

  void Receive();
  void Take(size_t size);
  void ScheduleTick();
  void Send(const std::vector<Outgoing>& outgoing);
  void Report();

  io::IoThreads& threads;
  GossipNodeOptions options;
  GossipCallbacks callbacks;
  udp::socket socket;
  udp::endpoint sender;
  std::array<uint8_t, kMaxDatagramBytes> buffer{};
  /// Guards all below.
  mutable std::mutex mutex;
  Membership membership;
  std::map<HostId, udp::endpoint> endpoints;
  std::set<HostId> listed;
  GossipTraffic traffic;
  ControlVersion reported_version = 0;
  bool stopped = false;
  /// Held while callbacks run; taken before `mutex`.
  std::mutex report_mutex;
};

void GossipNode::Impl::Receive() {
  socket.async_receive_from(
      asio::buffer(buffer), sender,
      [self = shared_from_this()](const asio::error_code& error, size_t size) {
        {
          std::scoped_lock lock(self->mutex);
          if (self->stopped) return;
        }
        if (!error) self->Take(size);
        self->Receive();
      });
}

void GossipNode::Impl::Take(size_t size) {
  const Result<wire::Gossip> message =
      Decode(std::span<uint8_t>(buffer).first(size));
  {
    std::scoped_lock lock(mutex);
    traffic.bytes_received += size;
    ++traffic.datagrams_received;
    if (message) {
      // A sender that the list does not show yet is answered all the same.
      const HostId from{message->sender};
      endpoints.try_emplace(from, sender);
      Send(membership.OnMessage(*message, SteadyClock().Now()));
      if (!listed.contains(from)) endpoints.erase(from);
    }
  }
  if (!message) {
    events::Log(events::EventId::kPeerFrameRejected,
                {{"peer", sender.address().to_string()},
                 {"reason", message.error().detail}});
    return;
  }
  Report();
}

void GossipNode::Impl::ScheduleTick() {
  threads.After(kTickInterval, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (!self) return;
    {
      std::scoped_lock lock(self->mutex);
      if (self->stopped) return;
      self->Send(self->membership.Tick(SteadyClock().Now()));
    }
    self->Report();
    self->ScheduleTick();
  });
}

/// The caller holds the lock. A datagram that cannot be sent is lost like any
/// other.
void GossipNode::Impl::Send(const std::vector<Outgoing>& outgoing) {
  for (const Outgoing& one : outgoing) {
    auto it = endpoints.find(one.to);
    if (it == endpoints.end()) continue;
    const std::string bytes = Encode(one.message);
    asio::error_code ignored;
    socket.send_to(asio::buffer(bytes), it->second, 0, ignored);
    traffic.bytes_sent += bytes.size();
    ++traffic.datagrams_sent;
  }
}

/// Tells the owner what is new.
void GossipNode::Impl::Report() {
  std::scoped_lock report(report_mutex);
  std::vector<MemberChange> changes;
  ControlVersion newer = 0;
  HostId holder;
  {
    std::scoped_lock lock(mutex);
    changes = membership.TakeChanges();
    if (membership.newest_version() > reported_version) {
      reported_version = newer = membership.newest_version();
      holder = membership.newest_version_holder();
    }
  }
  for (const MemberChange& change : changes) {
    if (callbacks.on_change) callbacks.on_change(change);
  }
  if (newer > 0 && callbacks.on_newer_version) {
    callbacks.on_newer_version(newer, holder);
  }
}

GossipNode::GossipNode(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

GossipNode::~GossipNode() {
  std::scoped_lock report(m_impl->report_mutex);
  std::scoped_lock lock(m_impl->mutex);
  m_impl->stopped = true;
  m_impl->callbacks = {};
  asio::error_code ignored;
  m_impl->socket.close(ignored);
}

Result<std::unique_ptr<GossipNode>> GossipNode::Create(
    io::IoThreads& threads, const GossipNodeOptions& options,
    GossipCallbacks callbacks) {
  auto impl = std::make_shared<Impl>(threads, options, std::move(callbacks));
  asio::error_code error;
  const auto address = asio::ip::make_address(options.address, error);
  if (!error) impl->socket.open(udp::v4(), error);
  if (!error) impl->socket.bind({address, options.port}, error);
  if (error) {
    return Fail(ErrorCode::kInternal,
                "cannot listen on UDP " + options.address + ":" +
                    std::to_string(options.port) + ": " + error.message());
  }
  impl->Receive();
  impl->ScheduleTick();
  return std::unique_ptr<GossipNode>(new GossipNode(std::move(impl)));
}

void GossipNode::UpdateHosts(std::span<const platform::HostEntry> hosts) {
  std::map<HostId, udp::endpoint> endpoints;
  std::vector<HostId> listed;
  for (const platform::HostEntry& host : hosts) {
    asio::error_code error;
    const auto address = asio::ip::make_address(host.address, error);
    if (error || host.port == 0) continue;
    endpoints.emplace(host.host, udp::endpoint(address, host.port));
    listed.push_back(host.host);
  }
  std::scoped_lock lock(m_impl->mutex);
  m_impl->endpoints = std::move(endpoints);
  m_impl->listed = {listed.begin(), listed.end()};
  m_impl->membership.SetListed(listed);
}

void GossipNode::SetControlVersion(ControlVersion version) {
  std::scoped_lock lock(m_impl->mutex);
  m_impl->membership.SetControlVersion(version);
}

void GossipNode::StartLeaving() {
  std::scoped_lock lock(m_impl->mutex);
  m_impl->membership.StartLeaving();
}

wire::MemberState::type GossipNode::StateOf(const HostId& host) const {
  std::scoped_lock lock(m_impl->mutex);
  return m_impl->membership.StateOf(host);
}

GossipTraffic GossipNode::traffic() const {
  std::scoped_lock lock(m_impl->mutex);
  return m_impl->traffic;
}

}  // namespace peridotshelf::membership
