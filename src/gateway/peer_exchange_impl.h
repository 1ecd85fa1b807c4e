/// State and operations of the exchange: loads and greetings in
/// peer_exchange.cc, limits in peer_exchange_limits.cc, suspects of crashes in
/// peer_exchange_suspects.cc, evacuations in peer_exchange_evacuations.cc.
#pragma once

#include <array>
#include <asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peer_messages.h"
#include "peridotshelf/gateway/peer_exchange.h"

namespace peridotshelf::gateway {

struct Peer {
  asio::ip::udp::endpoint endpoint;
  std::string process_id;
  int64_t last_sequence = 0;
  TimePoint last_received_at{};
  /// When it was heard or listed last.
  TimePoint known_at{};
  bool is_live = false;

  /// Returns whether it was heard since this entry started.
  bool WasHeard() const { return !process_id.empty(); }
};

/// Which cold engines a report names: those that this entry has read lately, or
/// all that it knows.
enum class ColdReport { kNews, kAll };

struct PeerExchange::Impl : std::enable_shared_from_this<PeerExchange::Impl> {
  Impl(io::IoThreads& io, scheduling::ActiveRequestTable& request_table,
       const PeerExchangeOptions& exchange_options)
      : threads(io),
        active_request_table(request_table),
        options(exchange_options),
        socket(io.context()),
        process_id(MakeRandomId()),
        fleet_view(SteadyClock().Now(), exchange_options.start_time) {}

  io::IoThreads& threads;
  scheduling::ActiveRequestTable& active_request_table;
  PeerExchangeOptions options;
  asio::ip::udp::socket socket;
  std::string process_id;
  int64_t sequence = 0;
  int64_t full_reports = 0;
  bool is_stopped = false;
  bool is_flush_scheduled = false;
  bool is_immediate_flush_scheduled = false;
  bool is_progress_new = false;
  bool are_entries_listed = false;
  bool is_known_to_all = false;
  /// As of the last change of the peers.
  double limit_part = 0;
  bool are_evacuations_new = false;
  std::set<std::string> changed_engines;
  std::unordered_map<std::string, Peer> peers;
  std::function<void()> on_peer_change = [] {};
  std::shared_ptr<scheduling::EngineRateLimits> rate_limits;
  std::function<void(const std::string&)> on_limit_change =
      [](const std::string&) {};
  std::shared_ptr<discovery::ColdEngines> cold_engines;
  std::function<void(const std::string&)> on_cold_change =
      [](const std::string&) {};
  scheduling::FleetView fleet_view;
  std::shared_ptr<quarantine::CrashQuarantine> suspects;
  std::function<void(std::span<const quarantine::SuspectId>)> on_quarantine =
      [](std::span<const quarantine::SuspectId>) {};
  std::shared_ptr<discovery::Evacuations> evacuations;
  std::function<void(const discovery::Evacuations::Changes&)> on_evacuations =
      [](const discovery::Evacuations::Changes&) {};
  std::mt19937_64 random{std::random_device()()};
  std::function<void(const RecordsProgress&)> on_peer_progress =
      [](const RecordsProgress&) {};
  RecordsProgress progress;
  /// Until when peers are told of engines that leave, by key.
  std::unordered_map<std::string, TimePoint> leaving_until;
  std::function<void(std::span<const std::string>)> on_peer_leaving =
      [](std::span<const std::string>) {};
  asio::ip::udp::endpoint sender;
  std::array<char, kMaxDatagramBytes> buffer{};

  void Receive();
  void HandleDatagram(std::string_view bytes);
  void ScheduleFlush();
  void FlushNow();
  void Flush();
  /// Reports to all peers now and at each interval.
  void SendFullReport();
  void ReportAll();
  void GreetLostPeers();
  void SendTo(Peer& peer, const std::string& bytes);
  void SendToLive(const std::string& bytes);
  size_t CountLivePeers() const;
  void UpdateLimitPart();
  /// Sends the requests at `engines` to `only_peer`, or to all live peers.
  void SendReport(const std::vector<std::string>& engines, bool complete,
                  Peer* only_peer = nullptr);
  wire::EntryLoad MakeReport();
  void AddEngineRequests(wire::EntryLoad& load,
                         const std::string& engine) const;
  /// Adds what is known of the limits of `engine`. Returns whether there is
  /// anything.
  bool AddLimit(wire::EntryLoad& load, const std::string& engine,
                ColdReport cold_report = ColdReport::kNews) const;
  void AddAllLimits(wire::EntryLoad& load, ColdReport cold_report) const;
  scheduling::LimitSharers MakeSharers();
  void AddLeaving(wire::EntryLoad& load);
  void ApplyLimits(const std::string& peer, const wire::EntryLoad& load);
  std::string EncodeSuspects(
      std::span<const quarantine::SuspectRecord> records);
  void ReportSuspects();
  void RepeatSuspects();
  /// Tells a new peer which suspects are quarantined.
  void SendQuarantined(Peer& peer);
  void ApplySuspects(const wire::EntryLoad& load);
  void AddEvacuations(wire::EntryLoad& load) const;
  void ReportEvacuations();
  void ApplyEvacuations(const wire::EntryLoad& load);
};

}  // namespace peridotshelf::gateway
