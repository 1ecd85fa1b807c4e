/// The HTTP status codes that the program uses.
#pragma once

namespace peridotshelf::http {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kGone = 410;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderTooLarge = 431;
inline constexpr int kServerError = 500;
inline constexpr int kNotImplemented = 501;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
inline constexpr int kVersionNotSupported = 505;

/// Returns whether `status` is a success (2xx).
constexpr bool IsSuccess(int status) { return status / 100 == 2; }

}  // namespace peridotshelf::http
