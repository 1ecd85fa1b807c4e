#include "peridotshelf/control/peer_link.h"

#include <utility>

#include "peridotshelf/events/log.h"

namespace peridotshelf::control {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

}  // namespace

PeerLink::PeerLink(io::IoThreads& threads, PeerLinkSource source,
                   PeerExchangeOptions options)
    : m_threads(threads), m_source(std::move(source)), m_exchange(options) {}

void PeerLink::Start() { Tick(); }

void PeerLink::Tick() {
  std::optional<wire::ChannelPtr> peer;
  const ControlVersion local_version = m_source.version();
  {
    std::scoped_lock lock(m_mutex);
    peer = m_exchange.ChoosePeer(local_version, SteadyClock().Now());
  }
  if (peer) {
    wire::PullControl pull;
    pull.from_version = local_version;
    wire::Frame frame;
    frame.__set_pull_control(pull);
    (*peer)->Send(frame);
  }
  std::weak_ptr<PeerLink> weak = weak_from_this();
  m_threads.RunAfter(kTickInterval, [weak] {
    if (auto self = weak.lock()) self->Tick();
  });
}

void PeerLink::NoteVersion(const wire::ChannelPtr& channel,
                           ControlVersion version) {
  std::scoped_lock lock(m_mutex);
  m_exchange.NoteVersion(channel, version);
}

void PeerLink::OnOpen(const wire::ChannelPtr& channel) {
  NoteVersion(channel, channel->peer().control_version);
}

bool PeerLink::OnFrame(const wire::ChannelPtr& channel,
                       const wire::Frame& frame) {
  if (frame.__isset.heartbeat) {
    NoteVersion(channel, frame.heartbeat.control_version);
    return true;
  }
  if (frame.__isset.pull_control) {
    SendState(channel, frame.pull_control.from_version);
    return true;
  }
  if (frame.__isset.control_state) {
    AdoptState(frame.control_state.snapshot);
    return true;
  }
  // Requests carry the version too, and reach a peer earlier than the next
  // heartbeat after a change.
  if (frame.__isset.reserve)
    NoteVersion(channel, frame.reserve.control_version);
  if (frame.__isset.service_call) {
    NoteVersion(channel, frame.service_call.control_version);
  }
  return false;
}

void PeerLink::OnClosed(const wire::ChannelPtr& channel) {
  std::scoped_lock lock(m_mutex);
  m_exchange.RemovePeer(channel);
}

void PeerLink::SendState(const wire::ChannelPtr& channel,
                         ControlVersion from_version) {
  if (m_source.version() <= from_version) return;
  const LogState state = m_source.state();
  wire::ControlState answer;
  answer.version = state.control.version;
  answer.snapshot = WriteSnapshot(state);
  wire::Frame frame;
  frame.__set_control_state(answer);
  channel->Send(frame);
}

void PeerLink::AdoptState(const std::string& snapshot) {
  Result<LogState> state = ReadSnapshot(snapshot);
  if (state) {
    m_source.adopt(std::move(*state));
  } else {
    events::Log(events::EventId::kPeerFrameRejected,
                {{"frame", "control_state"}, {"detail", state.error().detail}});
  }
}

}  // namespace peridotshelf::control
