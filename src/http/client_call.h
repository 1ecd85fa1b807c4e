/// One call of the client as libcurl runs it.
#pragma once

#include <curl/curl.h>

#include <vector>

#include "peridotshelf/http/client.h"
#include "receive_windows.h"

namespace peridotshelf::http::detail {

// Type of libcurl's options and transfer information.
using CurlLong = long;  // NOLINT(google-runtime-int)

/// A call that libcurl is running.
struct Call {
  Client::CallId id = 0;
  ClientRequest request;
  ClientCallbacks callbacks;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  bool head_reported = false;
  /// Status of the head that is being received or was received last.
  int head_status = 0;
  /// The blank line after a final head was received. libcurl reports a response
  /// whose connection ended inside its head as a success.
  bool is_head_complete = false;
  std::vector<Header> response_headers;
  size_t head_bytes = 0;
  size_t body_bytes = 0;
  /// The response exceeded its limits.
  bool is_oversized = false;
  /// The head has a line that is not a header.
  bool has_malformed_header = false;
  /// The call was ended since a callback threw.
  bool has_callback_failed = false;
  ReceiveWindows* windows = nullptr;
  /// The response has no body, which libcurl does not know.
  bool ends_after_head = false;
  /// Bytes sent and received, and when the number last changed.
  curl_off_t bytes = 0;
  TimePoint progressed_at = SteadyClock().Now();
};

/// Reports the head of the response, once.
void ReportHead(Call& call);
/// Sets the options of a call whose handle was just created.
void Configure(Call& call);
/// Removes the call from `multi` and frees what libcurl holds for it.
void Release(CURLM* multi, Call& call);
/// Returns the status of the response, or why there is none.
Result<int> MakeOutcome(Call& call, CURLcode code);
void ReportOutcome(const Call& call, const Result<int>& outcome);
/// Returns whether the call has exceeded its idle timeout, if it has one.
/// libcurl's low-speed limit takes seconds longer, since it uses an average.
bool HasIdleTimedOut(Call& call, TimePoint now);

}  // namespace peridotshelf::http::detail
