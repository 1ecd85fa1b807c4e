/// Metrics of the answers that the entry sends to callers.
#pragma once

#include <memory>

#include "entry/requests.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/metrics/daemon_metrics.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::entry {

/// Returns the size class of a request. It is giant when the request exceeds
/// the KV-cache memory of every engine of its model.
policy::SizeClass ClassifyRequest(const control::Configuration& configuration,
                                  const CompletionRequest& request);

/// Returns the class's label in metrics: "short", "medium", "long" or "giant".
std::string_view ToString(policy::SizeClass size_class);

/// Returns callbacks that forward to `answer` and record metrics. The time to
/// first token is measured from this call. `metrics` must outlive the
/// callbacks.
AnswerCallbacks MeterCompletion(metrics::EntryMetrics& metrics,
                                policy::SizeClass size_class,
                                AnswerCallbacks answer);

/// Does the same for a call to a plain service, which has no first token.
AnswerCallbacks MeterServiceCall(metrics::EntryMetrics& metrics,
                                 AnswerCallbacks answer);

/// Counts a failed request, and a refusal if the request did not run.
void CountFailure(metrics::EntryMetrics& metrics, const Error& error);

}  // namespace peridotshelf::entry
