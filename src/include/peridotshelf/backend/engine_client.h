/// Client of an engine's HTTP protocol: runs, resumption, cancellation and
/// reports.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "peridotshelf/backend/concepts.h"
#include "peridotshelf/http/client.h"

namespace peridotshelf::backend {

/// Client of one engine. Satisfies `BackendClient`. Callbacks run on the HTTP
/// client's thread and must not block.
class EngineClient {
 public:
  /// `base_url` without a trailing slash; `client` must outlive this object.
  EngineClient(http::Client& client, std::string base_url);

  /// Starts an attempt and streams its chunks.
  void Run(const EngineRun& run, EngineCallbacks callbacks);
  /// Streams an existing attempt's chunks from `from_offset` onwards.
  void Resume(const AttemptId& attempt, int64_t from_offset,
              EngineCallbacks callbacks);
  /// Cancels an attempt and frees its memory; succeeds for an unknown attempt.
  void Cancel(const AttemptId& attempt,
              std::function<void(Result<void>)> on_cancelled);
  /// Lists the attempts for which the engine holds state.
  void ListStreams(
      std::function<void(Result<std::vector<EngineStream>>)> on_streams);
  /// Fetches the engine's report of its load.
  void Report(std::function<void(Result<EngineReport>)> on_report);

 private:
  void Stream(http::ClientRequest request, EngineCallbacks callbacks);

  http::Client& m_client;
  std::string m_base_url;
};

static_assert(BackendClient<EngineClient>);

/// Parses the output of `AttemptId::ToString`. Fails with kProtocol.
Result<AttemptId> ParseAttemptId(std::string_view text);

}  // namespace peridotshelf::backend
