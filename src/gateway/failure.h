/// Why an attempt at an engine failed, and whether the failure guarantees that
/// the request did not run.
#pragma once

#include <string_view>

namespace peridotshelf::gateway {

/// Why an attempt at an engine failed.
enum class FailureCause {
  kUnreachable,    ///< No connection.
  kSilent,         ///< No data arrived within the timeout.
  kBroken,         ///< Connection lost or response malformed.
  kOversized,      ///< The response has no end within the limits.
  kNotRun,         ///< The engine guarantees that it did not run.
  kOtherEngine,    ///< A different engine uses the address.
  kEngineFailure,  ///< The engine responded with an error.
  kNoMemory,       ///< Memory could not be reserved at all helpers.
  kHelperFailed,   ///< Not run, since a helper engine could not take part.
  kEngineLeft,     ///< An engine started to leave before the request was sent.
};

/// Returns the name of the cause in logs and metrics.
std::string_view ToString(FailureCause cause);

/// Returns whether the failure guarantees that the engine did not run the
/// request.
bool GuaranteesNotRun(FailureCause cause);

/// Returns whether the failure shows that the engine was not at its address.
bool IsEngineMissing(FailureCause cause);

/// Returns whether the request may have reached an engine. Only then is the
/// next attempt a repeat for the engines.
bool MayHaveArrived(FailureCause cause);

/// Returns whether an answer with this status tells its caller that the request
/// has not run and will not.
bool PromisesNotRun(int status);

}  // namespace peridotshelf::gateway
