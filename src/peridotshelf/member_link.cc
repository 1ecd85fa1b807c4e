#include "peridotshelf/member_link.h"

#include <iterator>
#include <random>
#include <utility>

#include "peridotshelf/events/log.h"

namespace peridotshelf::program {
namespace {

/// The log usually brings a change sooner than gossip does, so a peer is asked
/// only after this long.
constexpr Duration kPullDelay = std::chrono::milliseconds(500);
/// A connection opened for one pull is closed after this long.
constexpr Duration kPullTime = std::chrono::seconds(2);
/// Sides asked before gossip has to tell of a still newer version.
constexpr int kPullTries = 10;
constexpr Duration kVersionInterval = std::chrono::milliseconds(250);

std::string_view ToString(wire::MemberState::type state) {
  switch (state) {
    case wire::MemberState::ALIVE:
      return "alive";
    case wire::MemberState::SUSPECT:
      return "suspect";
    case wire::MemberState::DEAD:
      return "dead";
    case wire::MemberState::LEAVING:
      return "leaving";
  }
  return "unknown";
}

}  // namespace

MemberLink::MemberLink(io::IoThreads& threads, PlatformLink& platform,
                       wire::HelloSource hello)
    : m_threads(threads),
      m_hello(std::move(hello)),
      m_peers(platform.peers()),
      m_platform(&platform) {}

Result<std::shared_ptr<MemberLink>> MemberLink::Create(
    io::IoThreads& threads, const membership::GossipNodeOptions& options,
    PlatformLink& platform, wire::HelloSource hello) {
  std::shared_ptr<MemberLink> link(
      new MemberLink(threads, platform, std::move(hello)));
  std::weak_ptr<MemberLink> weak = link;
  membership::GossipCallbacks callbacks;
  callbacks.on_change = [](const membership::MemberChange& change) {
    events::Log(
        events::EventId::kMemberChanged,
        {{"host", change.host.value()}, {"state", ToString(change.state)}});
  };
  callbacks.on_newer_version = [weak](ControlVersion version,
                                      const HostId& holder) {
    if (auto self = weak.lock()) self->OnNewerVersion(version, holder);
  };
  auto node =
      membership::GossipNode::Create(threads, options, std::move(callbacks));
  if (!node) return tl::unexpected<Error>(node.error());
  link->m_node = std::move(*node);
  link->PublishVersion();
  return link;
}

void MemberLink::Stop() {
  std::scoped_lock lock(m_mutex);
  m_platform = nullptr;
}

std::optional<ControlVersion> MemberLink::OwnVersion() const {
  std::scoped_lock lock(m_mutex);
  if (m_platform == nullptr) return std::nullopt;
  return m_platform->follower().version();
}

void MemberLink::UpdateHosts(std::span<const platform::HostEntry> hosts) {
  m_node->UpdateHosts(hosts);
  std::scoped_lock lock(m_mutex);
  m_sides.clear();
  for (const platform::HostEntry& host : hosts) {
    if (host.role != platform::HostRole::kSide) continue;
    m_sides[host.host] = wire::Endpoint{host.address, host.port};
  }
}

/// Keeps the version that gossip carries in step with the one in force.
void MemberLink::PublishVersion() {
  const std::optional<ControlVersion> own = OwnVersion();
  if (!own) return;
  m_node->SetControlVersion(*own);
  std::weak_ptr<MemberLink> weak = weak_from_this();
  m_threads.After(kVersionInterval, [weak] {
    if (auto self = weak.lock()) self->PublishVersion();
  });
}

void MemberLink::OnNewerVersion(ControlVersion version, const HostId& holder) {
  std::weak_ptr<MemberLink> weak = weak_from_this();
  m_threads.After(kPullDelay, [weak, version, holder] {
    if (auto self = weak.lock()) self->TryPull(version, holder, kPullTries);
  });
}

void MemberLink::TryPull(ControlVersion version, const HostId& holder,
                         int tries_left) {
  const std::optional<ControlVersion> own = OwnVersion();
  if (!own || *own >= version || tries_left == 0) return;
  if (const auto endpoint = ChooseSide(holder)) PullFrom(*endpoint);
  std::weak_ptr<MemberLink> weak = weak_from_this();
  m_threads.After(kPullDelay, [weak, version, tries_left] {
    // The holder had its chance; from now on any side will do.
    if (auto self = weak.lock()) {
      self->TryPull(version, HostId(), tries_left - 1);
    }
  });
}

std::optional<wire::Endpoint> MemberLink::ChooseSide(
    const HostId& holder) const {
  std::scoped_lock lock(m_mutex);
  auto it = m_sides.find(holder);
  if (it != m_sides.end()) return it->second;
  if (m_sides.empty()) return std::nullopt;
  thread_local std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<size_t> pick(0, m_sides.size() - 1);
  return std::next(m_sides.begin(), static_cast<std::ptrdiff_t>(pick(random)))
      ->second;
}

void MemberLink::PullFrom(const wire::Endpoint& endpoint) {
  wire::ChannelCallbacks callbacks;
  callbacks.on_open = [threads = &m_threads,
                       peers = m_peers](const wire::ChannelPtr& channel) {
    peers->OnOpen(channel);
    threads->After(kPullTime, [channel] {
      channel->Close({ErrorCode::kConnectionLost, "pull ended", false, {}});
    });
  };
  callbacks.on_frame = [peers = m_peers](const wire::ChannelPtr& channel,
                                         const wire::Frame& frame) {
    peers->OnFrame(channel, frame);
  };
  callbacks.on_closed = [peers = m_peers](const wire::ChannelPtr& channel,
                                          const Error&) {
    peers->OnClosed(channel);
  };
  wire::Connect(m_threads, endpoint, {}, m_hello, std::move(callbacks));
}

}  // namespace peridotshelf::program
