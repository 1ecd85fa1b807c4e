#include "peridotshelf/standin/engine_standin.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine_run_request.h"

namespace peridotshelf::standin {
namespace {

using nlohmann::json;

constexpr Duration kKeepAliveInterval = std::chrono::milliseconds(500);
constexpr Duration kFinishedRunRetention = std::chrono::seconds(30);
constexpr std::string_view kRunsPath = "/v1/engine/runs";

/// An attempt that runs, or that has finished and can still be read.
struct Run {
  RunRequest run_request;
  int64_t chunks = 0;
  bool finished = false;
  bool cancelled = false;
  /// The connected consumer, if any, and the offset of the next chunk to send.
  http::ResponderPtr consumer;
  int64_t consumer_offset = 0;

  int64_t MemoryTokens() const {
    return finished ? 0 : run_request.prompt_tokens + run_request.max_tokens;
  }
};

using RunPtr = std::shared_ptr<Run>;

Error MakeRefusal(ErrorCode code, std::string detail) {
  return Error{code, std::move(detail), /*not_run=*/true, {}};
}

}  // namespace

struct EngineStandin::Impl : std::enable_shared_from_this<Impl> {
  Impl(io::IoThreads& io, EngineStandinOptions engine_options)
      : threads(io), options(std::move(engine_options)) {}

  void Handle(const http::ServerRequest& request,
              const http::ResponderPtr& responder);
  void Start(const http::ServerRequest& request,
             const http::ResponderPtr& responder);
  Result<RunPtr> Accept(RunRequest run_request,
                        const http::ResponderPtr& responder);
  void Resume(std::string_view attempt, int64_t from,
              const http::ResponderPtr& responder);
  void Cancel(std::string_view attempt, const http::ResponderPtr& responder);
  void ListRuns(const http::ResponderPtr& responder);
  void ListExecutions(const http::ResponderPtr& responder);
  void ReportLoad(const http::ResponderPtr& responder);
  void Attach(const RunPtr& run, const http::ResponderPtr& responder,
              int64_t from);
  void Generate(const RunPtr& run);
  void SendChunks(Run& run);
  void KeepAlive(const RunPtr& run);
  void RecordBegin(const Run& run);
  void RecordEnd(const Run& run, history::ExecutionOutcome outcome);
  void RecordMemory();
  Duration ComputePrefillTime(int64_t tokens) const;

  io::IoThreads& threads;
  EngineStandinOptions options;
  std::mutex mutex;
  std::unordered_map<std::string, RunPtr> runs;
  std::vector<std::string> executions;
  int64_t used_tokens = 0;
  int32_t used_slots = 0;
  int64_t newest_epoch = 0;
  std::unique_ptr<http::Server> server;
};

Duration EngineStandin::Impl::ComputePrefillTime(int64_t tokens) const {
  const double quadratic = options.prefill_quadratic_ns *
                           static_cast<double>(tokens) *
                           static_cast<double>(tokens);
  return options.prefill_per_token * tokens +
         Duration{static_cast<int64_t>(quadratic)};
}

Result<RunPtr> EngineStandin::Impl::Accept(
    RunRequest run_request, const http::ResponderPtr& responder) {
  std::scoped_lock lock(mutex);
  const int64_t tokens = run_request.prompt_tokens + run_request.max_tokens;
  if (run_request.model != options.model) {
    return tl::unexpected<Error>(
        MakeRefusal(ErrorCode::kUnknownModel, run_request.model));
  }
  if (options.checks_fencing && run_request.epoch < newest_epoch) {
    return tl::unexpected<Error>(
        MakeRefusal(ErrorCode::kVersionConflict,
                    "epoch is older than the newest epoch seen"));
  }
  if (runs.contains(run_request.attempt)) {
    return Fail(ErrorCode::kKeyInUse, run_request.attempt);
  }
  if (used_slots >= options.slots ||
      used_tokens + tokens > options.memory_tokens) {
    return tl::unexpected<Error>(MakeRefusal(
        ErrorCode::kOverloaded, "no free batch slot or not enough memory"));
  }
  newest_epoch = std::max(newest_epoch, run_request.epoch);
  used_slots += 1;
  used_tokens += tokens;
  executions.push_back(run_request.attempt);
  auto run = std::make_shared<Run>();
  run->run_request = std::move(run_request);
  run->consumer = responder;
  runs.emplace(run->run_request.attempt, run);
  RecordBegin(*run);
  return run;
}

void EngineStandin::Impl::RecordBegin(const Run& run) {
  if (!options.recorder) return;
  options.recorder->Record(
      history::ExecutionBegin{ParseAttempt(run.run_request.attempt),
                              history::BackendId(options.name),
                              {}});
  RecordMemory();
}

void EngineStandin::Impl::RecordEnd(const Run& run,
                                    history::ExecutionOutcome outcome) {
  if (!options.recorder) return;
  options.recorder->Record(
      history::ExecutionEnd{ParseAttempt(run.run_request.attempt),
                            history::BackendId(options.name), outcome});
  RecordMemory();
}

void EngineStandin::Impl::RecordMemory() {
  options.recorder->Record(
      history::MemoryHeld{history::BackendId(options.name), used_tokens});
}

void EngineStandin::Impl::Start(const http::ServerRequest& request,
                                const http::ResponderPtr& responder) {
  Result<RunRequest> run_request = ParseRunRequest(request.body);
  if (!run_request) {
    http::ReplyError(*responder, run_request.error());
    return;
  }
  Result<RunPtr> run = Accept(std::move(*run_request), responder);
  if (!run) {
    http::ReplyError(*responder, run.error());
    return;
  }
  responder->BeginStream(200, {{"Content-Type", "application/x-ndjson"}});
  KeepAlive(*run);
  const Duration prefill =
      ComputePrefillTime((*run)->run_request.prompt_tokens);
  auto self = shared_from_this();
  if (prefill == Duration::zero()) {
    Generate(*run);
  } else {
    threads.RunAfter(prefill, [self, run = *run] { self->Generate(run); });
  }
}

/// Sends an empty line at intervals, so that the consumer can
/// distinguish a long prefill from a dead engine.
void EngineStandin::Impl::KeepAlive(const RunPtr& run) {
  threads.RunAfter(kKeepAliveInterval, [self = shared_from_this(), run] {
    std::scoped_lock lock(self->mutex);
    if (run->finished || run->cancelled) return;
    if (run->consumer) run->consumer->Write("\n");
    self->KeepAlive(run);
  });
}

/// Generates the next token, or all tokens if `token_interval` is zero.
void EngineStandin::Impl::Generate(const RunPtr& run) {
  std::scoped_lock lock(mutex);
  if (run->cancelled || run->finished) return;
  const bool is_instant = options.token_interval == Duration::zero();
  run->chunks = is_instant ? run->run_request.max_tokens : run->chunks + 1;
  const bool is_last = run->chunks >= run->run_request.max_tokens;
  if (is_last) {
    used_tokens -= run->MemoryTokens();
    used_slots -= 1;
    run->finished = true;
    RecordEnd(*run, history::ExecutionOutcome::kCompleted);
    threads.RunAfter(kFinishedRunRetention, [self = shared_from_this(), run] {
      std::scoped_lock inner(self->mutex);
      self->runs.erase(run->run_request.attempt);
    });
  }
  SendChunks(*run);
  if (is_last) return;
  threads.RunAfter(options.token_interval,
                   [self = shared_from_this(), run] { self->Generate(run); });
}

/// Sends the consumer all chunks not sent yet. The caller holds the lock.
void EngineStandin::Impl::SendChunks(Run& run) {
  if (!run.consumer) return;
  std::string lines;
  for (; run.consumer_offset < run.chunks; ++run.consumer_offset) {
    lines += json{{"offset", run.consumer_offset},
                  {"text", MakeAnswerChunk(run.run_request.prompt_hash,
                                           run.consumer_offset)}}
                 .dump();
    lines += '\n';
  }
  if (run.finished) {
    lines += json{{"done", true},
                  {"chunks", run.chunks},
                  {"prompt_tokens", run.run_request.prompt_tokens},
                  {"cached_tokens", 0}}
                 .dump() +
             '\n';
  }
  run.consumer->Write(std::move(lines));
  if (!run.finished) return;
  run.consumer->EndStream();
  run.consumer.reset();
}

void EngineStandin::Impl::Resume(std::string_view attempt, int64_t from,
                                 const http::ResponderPtr& responder) {
  std::scoped_lock lock(mutex);
  auto it = runs.find(std::string(attempt));
  if (it == runs.end()) {
    http::ReplyError(
        *responder, {ErrorCode::kUnknownService, "unknown attempt", false, {}});
    return;
  }
  Run& run = *it->second;
  if (run.consumer) run.consumer->EndStream();
  responder->BeginStream(200, {{"Content-Type", "application/x-ndjson"}});
  run.consumer = responder;
  run.consumer_offset = from;
  SendChunks(run);
}

void EngineStandin::Impl::Cancel(std::string_view attempt,
                                 const http::ResponderPtr& responder) {
  {
    std::scoped_lock lock(mutex);
    auto it = runs.find(std::string(attempt));
    if (it != runs.end()) {
      Run& run = *it->second;
      if (!run.finished) {
        used_tokens -= run.MemoryTokens();
        used_slots -= 1;
        RecordEnd(run, history::ExecutionOutcome::kCancelled);
      }
      run.cancelled = true;
      if (run.consumer) run.consumer->EndStream();
      runs.erase(it);
    }
  }
  responder->Reply(200, {{"Content-Type", "application/json"}}, "{}");
}

void EngineStandin::Impl::ListRuns(const http::ResponderPtr& responder) {
  json streams = json::array();
  {
    std::scoped_lock lock(mutex);
    for (const auto& [attempt, run] : runs) {
      streams.push_back({{"attempt", attempt},
                         {"epoch", run->run_request.epoch},
                         {"memory_tokens", run->MemoryTokens()},
                         {"chunks", run->chunks},
                         {"finished", run->finished}});
    }
  }
  responder->Reply(200, {{"Content-Type", "application/json"}},
                   json{{"streams", streams}}.dump());
}

void EngineStandin::Impl::ListExecutions(const http::ResponderPtr& responder) {
  std::scoped_lock lock(mutex);
  responder->Reply(200, {{"Content-Type", "application/json"}},
                   json{{"executions", executions}}.dump());
}

void EngineStandin::Impl::ReportLoad(const http::ResponderPtr& responder) {
  std::scoped_lock lock(mutex);
  responder->Reply(200, {{"Content-Type", "application/json"}},
                   json{{"memory_tokens", options.memory_tokens},
                        {"used_tokens", used_tokens},
                        {"slots", options.slots},
                        {"used_slots", used_slots}}
                       .dump());
}

void EngineStandin::Impl::Handle(const http::ServerRequest& request,
                                 const http::ResponderPtr& responder) {
  const std::string_view path = request.path;
  const bool is_run_path =
      path.starts_with(kRunsPath) && path.size() > kRunsPath.size() + 1;
  const std::string_view attempt =
      is_run_path ? path.substr(kRunsPath.size() + 1) : std::string_view();
  if (path == kRunsPath && request.method == "POST") {
    Start(request, responder);
  } else if (path == kRunsPath) {
    ListRuns(responder);
  } else if (is_run_path && request.method == "DELETE") {
    Cancel(attempt, responder);
  } else if (is_run_path) {
    const std::string from(request.FindQuery("from").value_or("0"));
    Resume(attempt, std::strtoll(from.c_str(), nullptr, 10), responder);
  } else if (path == "/v1/engine/report") {
    ReportLoad(responder);
  } else if (path == "/executions") {
    ListExecutions(responder);
  } else {
    http::ReplyError(*responder,
                     {ErrorCode::kUnknownService, request.path, true, {}});
  }
}

EngineStandin::EngineStandin(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

EngineStandin::~EngineStandin() { m_impl->server.reset(); }

Result<std::unique_ptr<EngineStandin>> EngineStandin::Create(
    io::IoThreads& threads, const EngineStandinOptions& options) {
  auto impl = std::make_shared<Impl>(threads, options);
  http::ServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  // `impl` owns the server, so the handler can use a raw pointer.
  auto server = http::Server::Create(
      threads, server_options,
      [engine = impl.get()](const http::ServerRequest& request,
                            const http::ResponderPtr& responder) {
        engine->Handle(request, responder);
      });
  if (!server) return tl::unexpected<Error>(server.error());
  impl->server = std::move(*server);
  return std::unique_ptr<EngineStandin>(new EngineStandin(std::move(impl)));
}

}  // namespace peridotshelf::standin
