/// Why a try at an engine failed, and what that proves.
#pragma once

#include <string_view>

namespace peridotshelf::gateway {

/// Why a try at an engine failed.
enum class FailureCause {
  kUnreachable,    ///< No connection.
  kSilent,         ///< Nothing came for too long.
  kBroken,         ///< The connection broke off or its bytes made no sense.
  kNotRun,         ///< The engine proved that it did not run the request.
  kOtherEngine,    ///< Another engine has the address.
  kEngineFailure,  ///< The engine answered with a failure.
  kNoMemory,       ///< Memory could not be reserved at all helpers.
};

/// The cause as logs and metrics name it.
std::string_view ToString(FailureCause cause);

/// Whether the failure proves that the engine did not run the request.
bool ProvesNotRun(FailureCause cause);

}  // namespace peridotshelf::gateway
