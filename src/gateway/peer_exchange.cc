#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <utility>

#include "peer_exchange_impl.h"
#include "peridotshelf/events/guard.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using asio::ip::udp;
using events::EventId;
using scheduling::ActiveRequest;

/// Engines per datagram; further engines are sent in additional datagrams.
constexpr size_t kMaxEnginesPerDatagram = 60;
/// Full reports between two greetings to a peer that does not respond.
constexpr int64_t kFullReportsPerGreeting = 4;
/// Longer than a registration takes to show the same.
constexpr Duration kLeavingReportTime = std::chrono::minutes(1);

}  // namespace

wire::EntryLoad PeerExchange::Impl::MakeReport() {
  wire::EntryLoad load;
  load.process_id = process_id;
  load.sequence = ++sequence;
  load.config_version = progress.configuration_version;
  load.engines_digest = progress.engines_digest;
  load.engines_epoch = progress.engines_position.epoch;
  load.engines_offset = progress.engines_position.offset;
  if (progress.registry_reads) {
    const TimePoint now = SteadyClock().Now();
    load.__set_engines_age_ms(
        ToMilliseconds(now - progress.registry_reads->last));
    load.__set_engines_available_ms(
        ToMilliseconds(now - progress.registry_reads->available_since));
  }
  if (progress.operator_read) {
    const TopicRead& read = *progress.operator_read;
    wire::TopicRead out;
    out.epoch = read.position.epoch;
    out.offset = read.position.offset;
    out.age_ms = ToMilliseconds(SteadyClock().Now() - read.at);
    load.__set_operator_read(out);
  }
  return load;
}

void PeerExchange::Impl::AddEngineRequests(wire::EntryLoad& load,
                                           const std::string& engine) const {
  const TimePoint now = SteadyClock().Now();
  wire::EngineWorks engine_requests;
  engine_requests.engine = engine;
  for (const ActiveRequest& request :
       active_request_table.LocalRequestsAt(engine)) {
    engine_requests.works.push_back(ToWire(request, now));
  }
  load.engines.push_back(std::move(engine_requests));
}

void PeerExchange::Impl::AddLeaving(wire::EntryLoad& load) {
  const TimePoint now = SteadyClock().Now();
  std::erase_if(leaving_until,
                [now](const auto& item) { return item.second < now; });
  for (const auto& [engine, until] : leaving_until) {
    load.leaving_engines.push_back(engine);
  }
}

void PeerExchange::Impl::SendTo(Peer& peer, const std::string& bytes) {
  asio::error_code ignored;
  // A datagram that cannot be sent is treated like a lost one.
  socket.send_to(asio::buffer(bytes), peer.endpoint, 0, ignored);
}

void PeerExchange::Impl::SendToLive(const std::string& bytes) {
  for (auto& [address, peer] : peers) {
    if (peer.is_live) SendTo(peer, bytes);
  }
}

size_t PeerExchange::Impl::CountLivePeers() const {
  return static_cast<size_t>(
      std::count_if(peers.begin(), peers.end(),
                    [](const auto& item) { return item.second.is_live; }));
}

void PeerExchange::Impl::UpdateLimitPart() {
  const TimePoint oldest = SteadyClock().Now() - options.forget_time;
  scheduling::KnownPeers known;
  known.is_list_read = are_entries_listed;
  known.is_known_to_all = is_known_to_all;
  for (const auto& [address, peer] : peers) {
    if (peer.known_at < oldest) continue;
    ++known.known;
    if (peer.WasHeard()) ++known.heard;
  }
  is_known_to_all = is_known_to_all || known.HaveAllBeenHeard();
  limit_part = scheduling::ComputeLimitPart(known);
}

void PeerExchange::Impl::SendReport(const std::vector<std::string>& engines,
                                    bool complete, Peer* only_peer) {
  size_t begin = 0;
  do {
    const size_t end = std::min(engines.size(), begin + kMaxEnginesPerDatagram);
    wire::EntryLoad load = MakeReport();
    load.complete = complete && engines.size() <= kMaxEnginesPerDatagram;
    for (size_t i = begin; i < end; ++i) {
      AddEngineRequests(load, engines[i]);
      if (!complete) AddLimit(load, engines[i]);
    }
    if (begin == 0) AddLeaving(load);
    if (begin == 0 && (complete || are_evacuations_new)) AddEvacuations(load);
    if (complete && begin == 0) AddAllLimits(load, ColdReport::kNews);
    const std::string bytes = Encode(load);
    if (only_peer == nullptr) {
      SendToLive(bytes);
    } else {
      SendTo(*only_peer, bytes);
    }
    begin = end;
  } while (begin < engines.size());
  if (only_peer == nullptr) are_evacuations_new = false;
}

void PeerExchange::Impl::ScheduleFlush() {
  if (std::exchange(is_flush_scheduled, true)) return;
  threads.RunAfter(options.batch_delay, [self = shared_from_this()] {
    self->is_flush_scheduled = false;
    self->Flush();
  });
}

void PeerExchange::Impl::FlushNow() {
  // The parts of one request start in the same callback and share a datagram.
  if (std::exchange(is_immediate_flush_scheduled, true)) return;
  threads.Post([self = shared_from_this()] {
    self->is_immediate_flush_scheduled = false;
    self->Flush();
  });
}

void PeerExchange::Impl::Flush() {
  if (changed_engines.empty() && !is_progress_new && !are_evacuations_new) {
    return;
  }
  is_progress_new = false;
  const std::vector<std::string> engines(changed_engines.begin(),
                                         changed_engines.end());
  changed_engines.clear();
  SendReport(engines, /*complete=*/false);
}

void PeerExchange::Impl::SendFullReport() {
  if (is_stopped) return;
  (void)events::RunGuarded("peer_report", [this] { ReportAll(); });
  threads.RunAfter(options.full_report_interval,
                   [self = shared_from_this()] { self->SendFullReport(); });
}

void PeerExchange::Impl::ReportAll() {
  const TimePoint now = SteadyClock().Now();
  for (auto& [address, peer] : peers) {
    if (peer.is_live && now - peer.last_received_at > options.peer_timeout) {
      peer.is_live = false;
      active_request_table.RemovePeer(address);
      if (rate_limits) rate_limits->RemovePeer(address);
      events::Log(EventId::kPeerLost, {{"peer", address}});
    }
  }
  SendReport(active_request_table.EnginesWithLocalRequests(),
             /*complete=*/true);
  MakeSharers();
  UpdateLimitPart();
  RepeatSuspects();
  if (full_reports++ % kFullReportsPerGreeting == 0) {
    GreetLostPeers();
  }
}

void PeerExchange::Impl::GreetLostPeers() {
  wire::EntryLoad greeting = MakeReport();
  greeting.wants_reply = true;
  const std::string bytes = Encode(greeting);
  for (auto& [address, peer] : peers) {
    if (!peer.is_live) SendTo(peer, bytes);
  }
}

void PeerExchange::Impl::Receive() {
  socket.async_receive_from(
      asio::buffer(buffer), sender,
      [self = shared_from_this()](const asio::error_code& error, size_t bytes) {
        if (self->is_stopped) return;
        if (!error) {
          // The next report of the peer replaces what this one has left out.
          (void)events::RunGuarded("peer_datagram", [&] {
            self->HandleDatagram(std::string_view(self->buffer.data(), bytes));
          });
        }
        self->Receive();
      });
}

void PeerExchange::Impl::HandleDatagram(std::string_view bytes) {
  const std::string address =
      sender.address().to_string() + ":" + std::to_string(sender.port());
  auto load = Decode(bytes);
  if (!load) {
    events::Log(EventId::kPeerFrameRejected,
                {{"peer", address}, {"reason", load.error().detail}});
    return;
  }
  if (load->process_id == process_id) return;
  const TimePoint now = SteadyClock().Now();
  Peer& peer = peers[address];
  peer.endpoint = sender;
  const bool is_first_report = !peer.WasHeard();
  const bool has_restarted = peer.process_id != load->process_id;
  if (has_restarted) {
    active_request_table.RemovePeer(address);
    if (rate_limits) rate_limits->RemovePeer(address);
    peer.process_id = load->process_id;
    peer.last_sequence = 0;
  }
  if (load->sequence <= peer.last_sequence) return;
  peer.last_sequence = load->sequence;
  peer.last_received_at = now;
  peer.known_at = now;
  if (is_first_report) UpdateLimitPart();
  if (!std::exchange(peer.is_live, true)) {
    events::Log(EventId::kPeerConnected, {{"peer", address}});
  }
  if (load->wants_reply) {
    wire::EntryLoad reply = MakeReport();
    AddAllLimits(reply, ColdReport::kAll);
    AddLeaving(reply);
    AddEvacuations(reply);
    reply.departed_engines = progress.departed_engines;
    SendTo(peer, Encode(reply));
    // Until it knows the requests of its peers, an entry that starts would
    // place its own at the engines that they use.
    SendReport(active_request_table.EnginesWithLocalRequests(),
               /*complete=*/true, &peer);
    SendQuarantined(peer);
  }
  ApplyLimits(address, *load);
  ApplySuspects(*load);
  std::erase_if(load->leaving_engines,
                [](const auto& key) { return !IsEngineKey(key); });
  on_peer_leaving(load->leaving_engines);
  ApplyEvacuations(*load);
  if (load->complete) active_request_table.RemovePeer(address);
  for (const wire::EngineWorks& engine_requests : load->engines) {
    if (!IsEngineKey(engine_requests.engine)) continue;
    std::vector<ActiveRequest> decoded;
    decoded.reserve(engine_requests.works.size());
    for (const wire::EngineWork& request : engine_requests.works) {
      decoded.push_back(FromWire(request, now));
    }
    active_request_table.SetPeerRequests(address, engine_requests.engine,
                                         std::move(decoded));
  }
  on_peer_progress(ReadProgress(*load, now));
  on_peer_change();
}

Result<std::unique_ptr<PeerExchange>> PeerExchange::Create(
    io::IoThreads& threads,
    scheduling::ActiveRequestTable& active_request_table,
    const PeerExchangeOptions& options) {
  auto impl = std::make_shared<Impl>(threads, active_request_table, options);
  asio::error_code error;
  const udp::endpoint endpoint(
      asio::ip::make_address(options.local_address.ip, error),
      options.local_address.port);
  if (!error) impl->socket.open(endpoint.protocol(), error);
  if (!error) impl->socket.bind(endpoint, error);
  if (error) {
    return Fail(ErrorCode::kInternal, "cannot receive datagrams on " +
                                          options.local_address.ToString() +
                                          ": " + error.message());
  }
  impl->socket.non_blocking(true, error);
  return std::unique_ptr<PeerExchange>(new PeerExchange(std::move(impl)));
}

PeerExchange::PeerExchange(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

PeerExchange::~PeerExchange() { m_impl->is_stopped = true; }

void PeerExchange::Start() {
  m_impl->threads.Post([impl = m_impl] {
    impl->Receive();
    impl->SendFullReport();
  });
}

void PeerExchange::AddPeer(const std::string& address) {
  const auto parsed = ParsePeerAddress(address);
  if (!parsed) {
    events::Log(EventId::kPeerFrameRejected,
                {{"peer", address}, {"reason", "not the address of an entry"}});
    return;
  }
  // Datagrams come from the address in its usual form.
  const std::string known = parsed->ToString();
  if (known == m_impl->options.local_address.ToString()) return;
  const auto [found, is_new] = m_impl->peers.try_emplace(known);
  Peer& peer = found->second;
  peer.known_at = SteadyClock().Now();
  m_impl->UpdateLimitPart();
  if (!is_new) return;
  peer.endpoint =
      udp::endpoint(asio::ip::make_address(parsed->ip), parsed->port);
  wire::EntryLoad greeting = m_impl->MakeReport();
  greeting.wants_reply = true;
  m_impl->SendTo(peer, Encode(greeting));
}

void PeerExchange::NoteEntriesListed(bool is_known_to_all) {
  m_impl->are_entries_listed = true;
  if (is_known_to_all) m_impl->is_known_to_all = true;
  m_impl->UpdateLimitPart();
}

bool PeerExchange::IsKnownToAll() const { return m_impl->is_known_to_all; }

double PeerExchange::LimitPart() const { return m_impl->limit_part; }

void PeerExchange::GreetLostPeers() { m_impl->GreetLostPeers(); }

void PeerExchange::NoteStart(const std::string& engine) {
  m_impl->changed_engines.insert(engine);
  m_impl->FlushNow();
}

void PeerExchange::NoteChange(const std::string& engine) {
  m_impl->changed_engines.insert(engine);
  m_impl->ScheduleFlush();
}

void PeerExchange::OnPeerChange(std::function<void()> callback) {
  m_impl->on_peer_change = std::move(callback);
}

void PeerExchange::ReportLeaving(const std::string& engine) {
  m_impl->leaving_until[engine] = SteadyClock().Now() + kLeavingReportTime;
  m_impl->is_progress_new = true;
  m_impl->FlushNow();
}

void PeerExchange::OnPeerLeaving(
    std::function<void(std::span<const std::string>)> callback) {
  m_impl->on_peer_leaving = std::move(callback);
}

void PeerExchange::SetRecordsProgress(const RecordsProgress& progress) {
  const RecordsProgress previous = std::exchange(m_impl->progress, progress);
  if (previous.configuration_version == progress.configuration_version &&
      previous.engines_digest == progress.engines_digest) {
    return;
  }
  m_impl->is_progress_new = true;
  m_impl->ScheduleFlush();
}

void PeerExchange::OnPeerRecordsProgress(
    std::function<void(const RecordsProgress&)> callback) {
  m_impl->on_peer_progress = std::move(callback);
}

size_t PeerExchange::CountLiveEntries() const {
  return m_impl->CountLivePeers() + 1;
}

}  // namespace peridotshelf::gateway
