#include "peridotshelf/base/error.h"

#include <algorithm>
#include <array>

namespace peridotshelf {
namespace {

struct ErrorInfo {
  ErrorCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array kErrors = {
    ErrorInfo{ErrorCode::kInvalidField, "bad_field", 400},
    ErrorInfo{ErrorCode::kUnknownModel, "unknown_model", 404},
    ErrorInfo{ErrorCode::kUnknownService, "unknown_service", 404},
    ErrorInfo{ErrorCode::kUnknownTeam, "unknown_team", 400},
    ErrorInfo{ErrorCode::kTooLarge, "too_large", 413},
    ErrorInfo{ErrorCode::kTeamLimit, "team_limit", 429},
    ErrorInfo{ErrorCode::kOverloaded, "overloaded", 503},
    ErrorInfo{ErrorCode::kNoBackend, "no_backend", 503},
    ErrorInfo{ErrorCode::kLeaving, "leaving", 503},
    ErrorInfo{ErrorCode::kNotReady, "not_ready", 503},
    ErrorInfo{ErrorCode::kDeadlineExceeded, "out_of_time", 504},
    ErrorInfo{ErrorCode::kBackendFailed, "backend_failed", 502},
    ErrorInfo{ErrorCode::kConnectionLost, "connection_lost", 502},
    ErrorInfo{ErrorCode::kCancelled, "cancelled", 499},
    ErrorInfo{ErrorCode::kKeyInUse, "key_in_use", 409},
    ErrorInfo{ErrorCode::kOutcomeUnknown, "outcome_unknown", 409},
    ErrorInfo{ErrorCode::kKeyExpired, "key_expired", 409},
    ErrorInfo{ErrorCode::kProtocol, "protocol", 502},
    ErrorInfo{ErrorCode::kPlatformUnavailable, "platform_unavailable", 503},
    ErrorInfo{ErrorCode::kVersionConflict, "version_conflict", 409},
    ErrorInfo{ErrorCode::kBadConfiguration, "bad_configuration", 400},
    ErrorInfo{ErrorCode::kInternal, "internal", 500},
};

constexpr auto MakeCodes() {
  std::array<ErrorCode, kErrors.size()> codes{};
  for (size_t i = 0; i < kErrors.size(); ++i) codes[i] = kErrors[i].code;
  return codes;
}
constexpr auto kCodes = MakeCodes();

const ErrorInfo& FindInfo(ErrorCode code) {
  return kErrors[static_cast<size_t>(code)];
}

}  // namespace

std::span<const ErrorCode> AllErrorCodes() { return kCodes; }

std::string_view ToString(ErrorCode code) { return FindInfo(code).name; }

std::optional<ErrorCode> ParseErrorCode(std::string_view name) {
  const auto* it =
      std::find_if(kErrors.begin(), kErrors.end(),
                   [name](const ErrorInfo& info) { return info.name == name; });
  if (it == kErrors.end()) return std::nullopt;
  return it->code;
}

int ToHttpStatus(ErrorCode code) { return FindInfo(code).http_status; }

}  // namespace peridotshelf
