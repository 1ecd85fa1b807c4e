/// All components of one gateway process.
#pragma once

#include <memory>

#include "peridotshelf/base/error.h"
#include "peridotshelf/scheduling/hedging.h"
#include "platform/settings_file.h"

namespace peridotshelf::program {

/// Serves callers from creation until destruction. Thread-safe.
class GatewayDaemon {
 public:
  /// Returns kInternal if listening on an address fails.
  static Result<std::unique_ptr<GatewayDaemon>> Create(
      const deployment::ProcessSettings& settings,
      const scheduling::HedgeOptions& hedging);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  /// Applies changed retry limits and regions. Changed addresses take effect
  /// only after a restart of the process.
  void ApplySettings(const deployment::ProcessSettings& settings);
  /// Reports not ready from now on, but continues to serve all requests.
  void StartLeaving();
  /// Refuses new streams, and calls that might last until after `end`, when the
  /// process has to exit; closes idle connections of callers.
  void RefuseLongWork(TimePoint end);
  /// Number of requests without a final answer and of callers' connections.
  struct OpenCounts {
    size_t requests = 0;
    size_t connections = 0;
  };
  OpenCounts CountOpen() const;
  /// Refuses all new requests.
  void RefuseAllNewWork();
  /// Accepts no further connections and gives each open request its final
  /// answer, which may still have to be sent.
  void Shutdown();

 private:
  struct Impl;
  explicit GatewayDaemon(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::program
