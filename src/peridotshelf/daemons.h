/// An entry and a side, each with its connection to the platform. A daemon
/// process runs one of them, the demonstration several.
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

/// Returns the options of a daemon's connection to the platform.
template <class Settings>
PlatformLinkOptions MakePlatformOptions(const Settings& settings) {
  PlatformLinkOptions options;
  options.host = HostId(settings.host);
  options.log_url = settings.log_url;
  options.hosts_url = settings.hosts_url;
  options.snapshots.interval = settings.snapshot_interval;
  return options;
}

/// One entry with its connection to the platform.
class EntryDaemon {
 public:
  /// Starts listening; if that fails, returns kInternal with the address.
  /// `threads` must outlive the daemon.
  static Result<std::unique_ptr<EntryDaemon>> Create(
      io::IoThreads& threads, const settings::EntrySettings& settings);
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  entry::Entry& entry() { return *m_entry; }
  /// Fails the readiness check from now on.
  void StartLeaving();

 private:
  EntryDaemon(io::IoThreads& threads, const settings::EntrySettings& settings)
      : m_platform(threads, MakePlatformOptions(settings)) {}

  PlatformLink m_platform;
  /// Shared, since the host list may change while the daemon is destroyed.
  std::shared_ptr<entry::Entry> m_entry;
};

/// One side with its connection to the platform.
class SideDaemon {
 public:
  /// Starts listening; if that fails, returns kInternal with the address.
  /// `threads` must outlive the daemon.
  static Result<std::unique_ptr<SideDaemon>> Create(
      io::IoThreads& threads, const settings::SideSettings& settings);
  SideDaemon(const SideDaemon&) = delete;
  SideDaemon& operator=(const SideDaemon&) = delete;

  side::Side& side() { return *m_side; }
  /// Refuses new work from now on.
  void StartLeaving();

 private:
  SideDaemon(io::IoThreads& threads, const settings::SideSettings& settings)
      : m_platform(threads, MakePlatformOptions(settings)) {}

  PlatformLink m_platform;
  /// Shared for the same reason as the entry of `EntryDaemon`.
  std::shared_ptr<side::Side> m_side;
  std::unique_ptr<SideStatus> m_status;
};

}  // namespace peridotshelf::program
