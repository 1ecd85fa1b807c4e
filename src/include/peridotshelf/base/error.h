/// The failures a caller or operator can be told of, each with a type.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "peridotshelf/base/clock.h"

namespace peridotshelf {

/// What went wrong.
enum class ErrorCode {
  kInvalidField,      ///< A field of the request is malformed; detail names it.
  kUnknownModel,      ///< No service offers the model.
  kUnknownService,    ///< No such plain service.
  kUnknownTeam,       ///< The service knows no such team.
  kTooLarge,          ///< Larger than any gang of engines can hold.
  kTeamLimit,         ///< The team's limit is reached.
  kOverloaded,        ///< No capacity within the caller's time.
  kNoBackend,         ///< No live backend server offers the service.
  kLeaving,           ///< The backend server is leaving.
  kNotReady,          ///< The process has no trustworthy configuration.
  kDeadlineExceeded,  ///< The caller's time passed.
  kBackendFailed,     ///< The backend server failed the request.
  kConnectionLost,    ///< The connection to the peer process ended.
  kCancelled,         ///< The caller hung up.
  kKeyInUse,          ///< The idempotency key's first request still runs.
  kOutcomeUnknown,    ///< Whether the request ran cannot be known.
  kKeyExpired,        ///< The key was issued too long ago to be judged.
  kProtocol,          ///< A peer broke the protocol between processes.
  kPlatformUnavailable,  ///< The platform's service did not answer.
  kVersionConflict,      ///< A change was based on an older version.
  kBadConfiguration,     ///< A configuration is not valid; detail has the path.
  kInternal,             ///< A fault in this program.
};

/// All codes, in order of declaration.
std::span<const ErrorCode> AllErrorCodes();

/// The code's stable name, such as "bad_field".
std::string_view ToString(ErrorCode code);

/// The code named `name`, if there is one.
std::optional<ErrorCode> ParseErrorCode(std::string_view name);

/// The HTTP status that callers see for the code.
int HttpStatus(ErrorCode code);

/// A failure with what its receiver may rely on.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// For people: the field, path or peer concerned.
  std::string detail;
  /// True only if it is proved that the request did not run and never will.
  bool not_run = false;
  /// When to come back, if that is known.
  std::optional<Duration> retry_after;
};

/// A value or an `Error`.
template <class T>
using Result = tl::expected<T, Error>;

/// An `Error` ready to return from a function that yields `Result`.
inline tl::unexpected<Error> Fail(ErrorCode code, std::string detail = {}) {
  return tl::unexpected<Error>(Error{code, std::move(detail), false, {}});
}

}  // namespace peridotshelf
