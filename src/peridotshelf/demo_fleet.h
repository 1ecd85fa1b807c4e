/// A small complete fleet in one process on loopback: a simulated platform,
/// simulated backend servers, two sides and an entry.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/daemons.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/standin/engine_standin.h"
#include "peridotshelf/standin/hosts_standin.h"
#include "peridotshelf/standin/log_standin.h"
#include "peridotshelf/standin/service_standin.h"

namespace peridotshelf::program {

/// Ports of the fleet, numbered consecutively from the entry's port.
struct DemoPorts {
  static constexpr uint16_t kCount = 8;
  explicit DemoPorts(uint16_t first) : entry(first) {}
  uint16_t entry;
  uint16_t log = entry + 1;
  uint16_t hosts = entry + 2;
  uint16_t service = entry + 3;
  std::array<uint16_t, 2> engines = {uint16_t(entry + 4), uint16_t(entry + 5)};
  std::array<uint16_t, 2> sides = {uint16_t(entry + 6), uint16_t(entry + 7)};
};

/// The model and the plain service of the fleet.
inline constexpr std::string_view kDemoModel = "demo";
inline constexpr std::string_view kDemoService = "approvals";

/// A fleet that runs until it is destroyed.
class DemoFleet {
 public:
  /// Starts all servers and publishes the configuration. If a port is in use,
  /// returns kInternal with the address. `threads` must outlive the fleet.
  static Result<std::unique_ptr<DemoFleet>> Create(io::IoThreads& threads,
                                                   const DemoPorts& ports);
  /// Waits until the entry answers; returns kDeadlineExceeded if it does not.
  Result<void> WaitUntilServing();
  /// Returns the base URL of the entry.
  std::string entry_url() const;

 private:
  DemoFleet(io::IoThreads& threads, const DemoPorts& ports)
      : m_threads(threads), m_ports(ports) {}
  Result<void> StartSimulatedServices();
  Result<void> StartDaemons();
  Result<void> PublishHostList();
  Result<void> PublishConfiguration();

  io::IoThreads& m_threads;
  DemoPorts m_ports;
  http::Client m_client;
  // Destroyed in reverse order, the servers closest to the callers first.
  std::unique_ptr<standin::LogStandin> m_log;
  std::unique_ptr<standin::HostsStandin> m_hosts;
  std::unique_ptr<standin::ServiceStandin> m_service;
  std::array<std::unique_ptr<standin::EngineStandin>, 2> m_engines;
  std::array<std::unique_ptr<SideDaemon>, 2> m_sides;
  std::unique_ptr<EntryDaemon> m_entry;
};

}  // namespace peridotshelf::program
