/// An entry and a side, each joined to the platform: what a process of either
/// kind runs, and the demonstration several of.
#pragma once

#include <memory>

#include "peridotshelf/base/error.h"
#include "peridotshelf/entry/entry.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/platform_link.h"
#include "peridotshelf/settings/daemon_settings.h"
#include "peridotshelf/side/side.h"
#include "peridotshelf/side_status.h"

namespace peridotshelf::program {

/// What both daemons tell their connection to the platform.
template <class Settings>
PlatformLinkOptions PlatformOptions(const Settings& given) {
  PlatformLinkOptions options;
  options.host = HostId(given.host);
  options.log_url = given.log_url;
  options.hosts_url = given.hosts_url;
  options.snapshots.interval = given.snapshot_interval;
  return options;
}

/// One entry with its connection to the platform.
class EntryDaemon {
 public:
  /// Listens at once, or fails with kInternal naming the address. `threads`
  /// outlives the daemon.
  static Result<std::unique_ptr<EntryDaemon>> Create(
      io::IoThreads& threads, const settings::EntrySettings& settings);
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  entry::Entry& entry() { return *m_entry; }
  /// Fails the readiness check from now on.
  void StartLeaving();

 private:
  EntryDaemon(io::IoThreads& threads, const settings::EntrySettings& settings)
      : m_platform(threads, PlatformOptions(settings)) {}

  PlatformLink m_platform;
  /// Shared, since the list of hosts may change while the daemon ends.
  std::shared_ptr<entry::Entry> m_entry;
};

/// One side with its connection to the platform.
class SideDaemon {
 public:
  /// Listens at once, or fails with kInternal naming the address. `threads`
  /// outlives the daemon.
  static Result<std::unique_ptr<SideDaemon>> Create(
      io::IoThreads& threads, const settings::SideSettings& settings);
  SideDaemon(const SideDaemon&) = delete;
  SideDaemon& operator=(const SideDaemon&) = delete;

  side::Side& side() { return *m_side; }
  /// Refuses new work from now on.
  void StartLeaving();

 private:
  SideDaemon(io::IoThreads& threads, const settings::SideSettings& settings)
      : m_platform(threads, PlatformOptions(settings)) {}

  PlatformLink m_platform;
  /// Shared for the same reason.
  std::shared_ptr<side::Side> m_side;
  std::unique_ptr<SideStatus> m_status;
};

}  // namespace peridotshelf::program
