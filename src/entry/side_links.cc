#include "entry/side_links.h"

#include <algorithm>
#include <random>
#include <utility>

#include "peridotshelf/attempts/retry_budget.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::entry {
namespace {

constexpr attempts::BackoffOptions kReconnectBackoff{
    std::chrono::milliseconds(20), std::chrono::milliseconds(500)};

Duration DrawReconnectDelay(int32_t failures) {
  thread_local std::minstd_rand random{std::random_device{}()};
  return attempts::DrawFullJitterDelay(kReconnectBackoff, failures,
                                       Duration::max(), random)
      .value_or(kReconnectBackoff.cap);
}

}  // namespace

SideLinks::SideLinks(io::IoThreads& threads, wire::ChannelOptions options,
                     wire::HelloSource hello, FrameHandler on_frame,
                     HostHandler on_opened, HostHandler on_lost,
                     std::shared_ptr<control::PeerLink> peers)
    : m_threads(threads),
      m_options(std::move(options)),
      m_hello(std::move(hello)),
      m_on_frame(std::move(on_frame)),
      m_on_opened(std::move(on_opened)),
      m_on_lost(std::move(on_lost)),
      m_peers(std::move(peers)) {}

void SideLinks::Update(std::span<const platform::HostEntry> hosts) {
  std::map<HostId, Link> updated_links;
  std::vector<std::pair<HostId, wire::Endpoint>> to_open;
  std::scoped_lock lock(m_mutex);
  for (const platform::HostEntry& host : hosts) {
    if (host.role != platform::HostRole::kSide) continue;
    const wire::Endpoint endpoint{host.address, host.port};
    auto existing = m_links.find(host.host);
    if (existing != m_links.end() && existing->second.endpoint == endpoint) {
      updated_links.insert(m_links.extract(existing));
    } else {
      updated_links[host.host] = Link{endpoint, nullptr, 0, 0};
      to_open.emplace_back(host.host, endpoint);
    }
  }
  m_links.swap(updated_links);
  for (auto& [host, endpoint] : to_open) OpenConnection(host, endpoint);
}

wire::ChannelPtr SideLinks::Find(const HostId& host) const {
  std::scoped_lock lock(m_mutex);
  auto it = m_links.find(host);
  return it == m_links.end() ? nullptr : it->second.channel;
}

attempts::ReportedVersions SideLinks::CollectReportedVersions() const {
  std::scoped_lock lock(m_mutex);
  attempts::ReportedVersions reported;
  bool is_first = true;
  for (const auto& [host, link] : m_links) {
    reported.oldest = is_first
                          ? link.reported_version
                          : std::min(reported.oldest, link.reported_version);
    reported.newest = std::max(reported.newest, link.reported_version);
    is_first = false;
  }
  return reported;
}

void SideLinks::NoteReportedVersion(const HostId& host,
                                    ControlVersion version) {
  std::scoped_lock lock(m_mutex);
  auto it = m_links.find(host);
  if (it != m_links.end()) it->second.reported_version = version;
}

void SideLinks::OnOpened(const HostId& host, const wire::Endpoint& endpoint,
                         const wire::ChannelPtr& channel) {
  events::Log(events::EventId::kPeerConnected, {{"peer", host.value()}});
  {
    std::scoped_lock lock(m_mutex);
    auto it = m_links.find(host);
    if (it == m_links.end() || it->second.endpoint != endpoint) {
      channel->Close({ErrorCode::kConnectionLost,
                      "the host's side is no longer listed",
                      false,
                      {}});
      return;
    }
    it->second.channel = channel;
    it->second.reported_version = channel->peer().control_version;
    it->second.failures = 0;
    if (m_peers) m_peers->OnOpen(channel);
  }
  m_on_opened(host);
}

void SideLinks::OpenConnection(const HostId& host,
                               const wire::Endpoint& endpoint) {
  auto self = shared_from_this();
  wire::ChannelCallbacks callbacks;
  callbacks.on_open = [self, host, endpoint](const wire::ChannelPtr& channel) {
    self->OnOpened(host, endpoint, channel);
  };
  callbacks.on_frame = [self, host](const wire::ChannelPtr& channel,
                                    wire::Frame frame) {
    if (frame.__isset.heartbeat) {
      self->NoteReportedVersion(host, frame.heartbeat.control_version);
    }
    if (self->m_peers && self->m_peers->OnFrame(channel, frame)) return;
    self->m_on_frame(host, std::move(frame));
  };
  callbacks.on_closed = [self, host, endpoint](const wire::ChannelPtr& channel,
                                               const Error& reason) {
    if (self->m_peers) self->m_peers->OnClosed(channel);
    self->OnClosed(host, endpoint, reason);
  };
  wire::Connect(m_threads, endpoint, m_options, m_hello, std::move(callbacks));
}

void SideLinks::OnClosed(const HostId& host, const wire::Endpoint& endpoint,
                         const Error& reason) {
  bool was_open = false;
  int32_t failures = 0;
  {
    std::scoped_lock lock(m_mutex);
    auto it = m_links.find(host);
    if (it == m_links.end() || it->second.endpoint != endpoint) return;
    was_open = it->second.channel != nullptr;
    it->second.channel = nullptr;
    it->second.reported_version = 0;
    failures = it->second.failures++;
  }
  if (was_open) {
    events::Log(events::EventId::kPeerLost,
                {{"peer", host.value()}, {"reason", reason.detail}});
    m_on_lost(host);
  }
  m_threads.RunAfter(DrawReconnectDelay(failures), [self = shared_from_this(),
                                                    host, endpoint] {
    {
      std::scoped_lock lock(self->m_mutex);
      auto it = self->m_links.find(host);
      if (it == self->m_links.end() || it->second.endpoint != endpoint) return;
    }
    self->OpenConnection(host, endpoint);
  });
}

}  // namespace peridotshelf::entry
