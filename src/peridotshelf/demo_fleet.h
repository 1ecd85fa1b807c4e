/// A whole small fleet in one process on loopback: stand-ins for the platform
/// and the backend servers, two sides and an entry.
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

/// Ports that the fleet listens on, counted from the entry's.
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

/// The model and the plain service that the fleet offers.
inline constexpr std::string_view kDemoModel = "demo";
inline constexpr std::string_view kDemoService = "approvals";

/// Runs until destroyed.
class DemoFleet {
 public:
  /// Starts everything and publishes the configuration; kInternal naming the
  /// address when a port is taken. `threads` outlives the fleet.
  static Result<std::unique_ptr<DemoFleet>> Create(io::IoThreads& threads,
                                                   const DemoPorts& ports);
  /// Waits until the entry answers; kOutOfTime if it does not.
  Result<void> WaitUntilServing();
  /// Base URL of the entry.
  std::string entry_url() const;

 private:
  DemoFleet(io::IoThreads& threads, const DemoPorts& ports)
      : m_threads(threads), m_ports(ports) {}
  Result<void> StartStandins();
  Result<void> StartDaemons();
  Result<void> ListSides();
  Result<void> Publish();

  io::IoThreads& m_threads;
  DemoPorts m_ports;
  http::Client m_client;
  // Destroyed from the last to the first: callers' side before the rest.
  std::unique_ptr<standin::LogStandin> m_log;
  std::unique_ptr<standin::HostsStandin> m_hosts;
  std::unique_ptr<standin::ServiceStandin> m_service;
  std::array<std::unique_ptr<standin::EngineStandin>, 2> m_engines;
  std::array<std::unique_ptr<SideDaemon>, 2> m_sides;
  std::unique_ptr<EntryDaemon> m_entry;
};

}  // namespace peridotshelf::program
