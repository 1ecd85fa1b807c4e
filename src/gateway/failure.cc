#include "failure.h"

#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {

std::string_view ToString(FailureCause cause) {
  switch (cause) {
    case FailureCause::kUnreachable:
      return "unreachable";
    case FailureCause::kSilent:
      return "silent";
    case FailureCause::kBroken:
      return "broken";
    case FailureCause::kOversized:
      return "oversized";
    case FailureCause::kNotRun:
      return "not_run";
    case FailureCause::kOtherEngine:
      return "other_engine";
    case FailureCause::kEngineFailure:
      return "engine_failure";
    case FailureCause::kNoMemory:
      return "no_memory";
    case FailureCause::kHelperFailed:
      return "helper_failed";
    case FailureCause::kEngineLeft:
      return "engine_left";
  }
  return "unknown";
}

bool GuaranteesNotRun(FailureCause cause) {
  return cause == FailureCause::kUnreachable ||
         cause == FailureCause::kNotRun ||
         cause == FailureCause::kOtherEngine ||
         cause == FailureCause::kHelperFailed ||
         cause == FailureCause::kNoMemory || cause == FailureCause::kEngineLeft;
}

bool IsEngineMissing(FailureCause cause) {
  return cause == FailureCause::kUnreachable ||
         cause == FailureCause::kOtherEngine;
}

bool MayHaveArrived(FailureCause cause) {
  return cause != FailureCause::kUnreachable &&
         cause != FailureCause::kNoMemory && cause != FailureCause::kEngineLeft;
}

bool PromisesNotRun(int status) {
  return status == http::kRequestTimeout || status == http::kMisdirected ||
         status == http::kTooManyRequests || status == http::kUnavailable;
}

}  // namespace peridotshelf::gateway
