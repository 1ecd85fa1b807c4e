/// The parts of one gateway process, put together.
#pragma once

#include <memory>

#include "peridotshelf/base/error.h"
#include "platform/settings_file.h"

namespace peridotshelf::program {

/// Serves callers from its creation until destroyed. Its members may be called
/// from any thread.
class GatewayDaemon {
 public:
  /// kInternal if an address cannot be listened on.
  static Result<std::unique_ptr<GatewayDaemon>> Create(
      const deployment::ProcessSettings& settings);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  /// Takes changed limits. Addresses hold until the process starts anew.
  void TakeSettings(const deployment::ProcessSettings& settings);
  /// Ceases to report itself ready; goes on serving whoever still comes.
  void StartLeaving();
  /// Refuses what might not end before the process does, and closes callers'
  /// idle connections.
  void StopTakingWork();
  /// Requests without a final answer and connections of callers.
  struct Open {
    size_t requests = 0;
    size_t connections = 0;
  };
  Open CountOpen() const;
  /// Gives every open request its final answer.
  void AbortAll();

 private:
  struct Impl;
  explicit GatewayDaemon(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::program
