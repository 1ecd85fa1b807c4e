#include "peridotshelf/control/peer_link.h"

#include <utility>

#include "peridotshelf/events/log.h"

namespace peridotshelf::control {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

}  // namespace

PeerLink::PeerLink(io::IoThreads& threads, PeerLinkSource source,
                   PeerExchangeOptions options)
    : m_threads(threads), m_source(std::move(source)), m_exchange(options) {}

void PeerLink::Start() { Tick(); }

void PeerLink::Tick() {
  std::optional<wire::ChannelPtr> peer;
  const ControlVersion own = m_source.version();
  {
    std::scoped_lock lock(m_mutex);
    peer = m_exchange.ChoosePeer(own, SteadyClock().Now());
  }
  if (peer) {
    wire::PullControl pull;
    pull.from_version = own;
    wire::Frame frame;
    frame.__set_pull_control(pull);
    (*peer)->Send(frame);
  }
  std::weak_ptr<PeerLink> weak = weak_from_this();
  m_threads.RunAfter(kTick, [weak] {
    if (auto self = weak.lock()) self->Tick();
  });
}

void PeerLink::Note(const wire::ChannelPtr& channel, ControlVersion version) {
  std::scoped_lock lock(m_mutex);
  m_exchange.NoteVersion(channel, version);
}

void PeerLink::OnOpen(const wire::ChannelPtr& channel) {
  Note(channel, channel->peer().control_version);
}

bool PeerLink::OnFrame(const wire::ChannelPtr& channel,
                       const wire::Frame& frame) {
  if (frame.__isset.heartbeat) {
    Note(channel, frame.heartbeat.control_version);
    return true;
  }
  if (frame.__isset.pull_control) {
    Answer(channel, frame.pull_control.from_version);
    return true;
  }
  if (frame.__isset.control_state) {
    Take(frame.control_state.snapshot);
    return true;
  }
  // Requests carry the version too: they are the first to follow a change.
  if (frame.__isset.reserve) Note(channel, frame.reserve.control_version);
  if (frame.__isset.service_call) {
    Note(channel, frame.service_call.control_version);
  }
  return false;
}

void PeerLink::OnClosed(const wire::ChannelPtr& channel) {
  std::scoped_lock lock(m_mutex);
  m_exchange.Forget(channel);
}

void PeerLink::Answer(const wire::ChannelPtr& channel,
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

void PeerLink::Take(const std::string& snapshot) {
  Result<LogState> state = ReadSnapshot(snapshot);
  if (state) {
    m_source.take(std::move(*state));
  } else {
    events::Log(events::EventId::kPeerFrameRejected,
                {{"frame", "control_state"}, {"detail", state.error().detail}});
  }
}

}  // namespace peridotshelf::control
