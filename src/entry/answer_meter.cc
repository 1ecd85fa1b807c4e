#include "entry/answer_meter.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::entry {
namespace {

double SecondsSince(TimePoint start_time) {
  return std::chrono::duration<double>(SteadyClock().Now() - start_time)
      .count();
}

/// Counts a request as open until the last of its callbacks is destroyed.
class OpenRequest {
 public:
  explicit OpenRequest(metrics::EntryMetrics& metrics)
      : m_metrics(metrics), m_start_time(SteadyClock().Now()) {
    m_metrics.open_requests.WithoutLabel().Add(1);
  }
  ~OpenRequest() { m_metrics.open_requests.WithoutLabel().Add(-1); }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  metrics::EntryMetrics& metrics() { return m_metrics; }
  TimePoint start_time() const { return m_start_time; }
  /// Records the time to first token. Returns false if it is already recorded.
  bool RecordFirstToken() {
    if (m_ttft) return false;
    m_ttft = SteadyClock().Now() - m_start_time;
    return true;
  }
  std::optional<Duration> ttft() const { return m_ttft; }

 private:
  metrics::EntryMetrics& m_metrics;
  std::optional<Duration> m_ttft;
  TimePoint m_start_time;
};

using OpenRequestPtr = std::shared_ptr<OpenRequest>;

void CountRetries(metrics::EntryMetrics& metrics,
                  const attempts::RequestTrace& trace) {
  for (const attempts::TraceStep& step : trace.steps) {
    if (step.kind == attempts::TraceKind::kRetryPlanned) {
      metrics.retries.WithoutLabel().Add();
    }
  }
}

/// Records the slowdown: the time to first token divided by the part of it
/// that follows the last start of an attempt.
void MeterSlowdown(const OpenRequestPtr& open,
                   const attempts::RequestTrace& trace) {
  if (!open->ttft()) return;
  Duration last_start{};
  for (const attempts::TraceStep& step : trace.steps) {
    const bool is_before_first_token =
        step.kind == attempts::TraceKind::kStarted && step.at < *open->ttft();
    if (is_before_first_token) last_start = step.at;
  }
  const Duration ttft_since_start = *open->ttft() - last_start;
  open->metrics().short_slowdown.WithoutLabel().Observe(
      static_cast<double>(open->ttft()->count()) /
      static_cast<double>(ttft_since_start.count()));
}

/// Wraps the callbacks for success and failure to count the outcome.
void MeterOutcome(const OpenRequestPtr& open, AnswerCallbacks& answer) {
  answer.on_finished = [open, inner = std::move(answer.on_finished)](
                           const AnswerSummary& summary) {
    open->metrics().requests.With("ok").Add();
    inner(summary);
  };
  answer.on_failed = [open,
                      inner = std::move(answer.on_failed)](const Error& error) {
    CountFailure(open->metrics(), error);
    inner(error);
  };
}

}  // namespace

policy::SizeClass ClassifyRequest(const control::Configuration& configuration,
                                  const CompletionRequest& request) {
  int64_t memory_tokens = 0;
  for (const control::EngineConfig& engine : configuration.engines) {
    if (engine.model != request.model) continue;
    memory_tokens = std::max(memory_tokens, engine.memory_tokens);
  }
  return policy::ClassifySize(request.prompt_tokens, request.max_tokens,
                              memory_tokens);
}

std::string_view ToString(policy::SizeClass size_class) {
  switch (size_class) {
    case policy::SizeClass::kShort:
      return "short";
    case policy::SizeClass::kMedium:
      return "medium";
    case policy::SizeClass::kLong:
      return "long";
    case policy::SizeClass::kGiant:
      return "giant";
  }
  return "giant";
}

AnswerCallbacks MeterCompletion(metrics::EntryMetrics& metrics,
                                policy::SizeClass size_class,
                                AnswerCallbacks answer) {
  auto open = std::make_shared<OpenRequest>(metrics);
  answer.on_chunk = [open, size_class, inner = std::move(answer.on_chunk)](
                        std::string_view data) {
    if (open->RecordFirstToken()) {
      open->metrics()
          .time_to_first_token.With(ToString(size_class))
          .Observe(SecondsSince(open->start_time()));
    }
    inner(data);
  };
  MeterOutcome(open, answer);
  answer.on_trace = [open, size_class](const attempts::RequestTrace& trace) {
    CountRetries(open->metrics(), trace);
    if (size_class == policy::SizeClass::kShort) MeterSlowdown(open, trace);
  };
  return answer;
}

AnswerCallbacks MeterServiceCall(metrics::EntryMetrics& metrics,
                                 AnswerCallbacks answer) {
  MeterOutcome(std::make_shared<OpenRequest>(metrics), answer);
  answer.on_trace = [&metrics](const attempts::RequestTrace& trace) {
    CountRetries(metrics, trace);
  };
  return answer;
}

void CountFailure(metrics::EntryMetrics& metrics, const Error& error) {
  metrics.requests.With(ToString(error.code)).Add();
  if (error.not_run) metrics.common.refusals.With(ToString(error.code)).Add();
}

}  // namespace peridotshelf::entry
