/// Typed errors that are reported to callers and operators.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "peridotshelf/base/clock.h"

namespace peridotshelf {

/// The kind of an error.
enum class ErrorCode {
  kInvalidField,      ///< A field of the request is malformed; detail names it.
  kUnknownModel,      ///< No service offers the model.
  kUnknownService,    ///< No plain service has this name.
  kUnknownTeam,       ///< The service knows no such team.
  kTooLarge,          ///< Larger than any multi-engine request can be.
  kTeamLimit,         ///< The team's limit is reached.
  kOverloaded,        ///< No capacity before the request's deadline.
  kNoBackend,         ///< No live backend server offers the service.
  kLeaving,           ///< The backend server is leaving.
  kNotReady,          ///< The process has no reliable configuration.
  kDeadlineExceeded,  ///< The request's deadline passed.
  kBackendFailed,     ///< The backend server failed the request.
  kConnectionLost,    ///< The connection to the peer process ended.
  kCancelled,         ///< The caller disconnected.
  kKeyInUse,          ///< The first request with the key is still running.
  kOutcomeUnknown,    ///< It is unknown whether the request ran.
  kKeyExpired,        ///< The idempotency key is too old to be checked.
  kProtocol,          ///< A peer process violated the protocol.
  kPlatformUnavailable,  ///< A platform service did not respond.
  kVersionConflict,      ///< A change was based on an older version.
  kBadConfiguration,     ///< A configuration is invalid; detail has the path.
  kInternal,             ///< An internal error of this program.
};

/// Returns all codes in order of declaration.
std::span<const ErrorCode> AllErrorCodes();

/// Returns the stable name of `code`, such as "bad_field".
std::string_view ToString(ErrorCode code);

/// Returns the code named `name`, if there is one.
std::optional<ErrorCode> ParseErrorCode(std::string_view name);

/// Returns the HTTP status that callers receive for `code`.
int ToHttpStatus(ErrorCode code);

/// An error and the guarantees that its receiver may rely on.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// Text for people that names the field, path or peer concerned.
  std::string detail;
  /// True only if it is certain that the request did not run and never will.
  bool not_run = false;
  /// Delay after which the caller should retry, if it is known.
  std::optional<Duration> retry_after;
};

/// A value or an `Error`.
template <class T>
using Result = tl::expected<T, Error>;

/// Makes an error for a function that returns `Result`; `not_run` is false.
inline tl::unexpected<Error> Fail(ErrorCode code, std::string detail = {}) {
  return tl::unexpected<Error>(Error{code, std::move(detail), false, {}});
}

}  // namespace peridotshelf
