#include "entry/answer_meter.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::entry {
namespace {

double SecondsSince(TimePoint begin) {
  return std::chrono::duration<double>(SteadyClock().Now() - begin).count();
}

/// Counts a request as open until the last of its callbacks is gone.
class OpenRequest {
 public:
  explicit OpenRequest(metrics::EntryMetrics& metrics)
      : m_metrics(metrics), m_begin(SteadyClock().Now()) {
    m_metrics.open_requests.Only().Add(1);
  }
  ~OpenRequest() { m_metrics.open_requests.Only().Add(-1); }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  metrics::EntryMetrics& metrics() { return m_metrics; }
  TimePoint begin() const { return m_begin; }
  /// Notes the first token; false if it came before.
  bool Begin() {
    if (m_first_token) return false;
    m_first_token = SteadyClock().Now() - m_begin;
    return true;
  }
  std::optional<Duration> first_token() const { return m_first_token; }

 private:
  metrics::EntryMetrics& m_metrics;
  std::optional<Duration> m_first_token;
  TimePoint m_begin;
};

using OpenRequestPtr = std::shared_ptr<OpenRequest>;

void CountRetries(metrics::EntryMetrics& metrics,
                  const attempts::RequestTrace& trace) {
  for (const attempts::TraceStep& step : trace.steps) {
    if (step.kind == attempts::TraceKind::kRetryPlanned) {
      metrics.retries.Only().Add();
    }
  }
}

/// Compares the time to first token with the part of it after the last start.
void MeterSlowdown(const OpenRequestPtr& open,
                   const attempts::RequestTrace& trace) {
  if (!open->first_token()) return;
  Duration started{};
  for (const attempts::TraceStep& step : trace.steps) {
    const bool counts = step.kind == attempts::TraceKind::kStarted &&
                        step.at < *open->first_token();
    if (counts) started = step.at;
  }
  const Duration alone = *open->first_token() - started;
  open->metrics().short_slowdown.Only().Observe(
      static_cast<double>(open->first_token()->count()) /
      static_cast<double>(alone.count()));
}

/// Counts how a request ends.
void MeterEnd(const OpenRequestPtr& open, AnswerCallbacks& answer) {
  answer.on_finished = [open, inner = std::move(answer.on_finished)](
                           const AnswerSummary& summary) {
    open->metrics().requests.With("ok").Add();
    inner(summary);
  };
  answer.on_failed = [open,
                      inner = std::move(answer.on_failed)](const Error& error) {
    CountRefusal(open->metrics(), error);
    inner(error);
  };
}

}  // namespace

policy::SizeClass SizeClassOf(const control::Configuration& configuration,
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
    if (open->Begin()) {
      open->metrics()
          .time_to_first_token.With(ToString(size_class))
          .Observe(SecondsSince(open->begin()));
    }
    inner(data);
  };
  MeterEnd(open, answer);
  answer.on_trace = [open, size_class](const attempts::RequestTrace& trace) {
    CountRetries(open->metrics(), trace);
    if (size_class == policy::SizeClass::kShort) MeterSlowdown(open, trace);
  };
  return answer;
}

AnswerCallbacks MeterServiceCall(metrics::EntryMetrics& metrics,
                                 AnswerCallbacks answer) {
  MeterEnd(std::make_shared<OpenRequest>(metrics), answer);
  answer.on_trace = [&metrics](const attempts::RequestTrace& trace) {
    CountRetries(metrics, trace);
  };
  return answer;
}

void CountRefusal(metrics::EntryMetrics& metrics, const Error& error) {
  metrics.requests.With(ToString(error.code)).Add();
  if (error.not_run) metrics.common.refusals.With(ToString(error.code)).Add();
}

}  // namespace peridotshelf::entry
