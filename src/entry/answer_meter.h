/// Counts and times answers on their way to callers.
#pragma once

#include <memory>

#include "entry/requests.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/metrics/daemon_metrics.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::entry {

/// The class of a request among the engines of its model.
policy::SizeClass SizeClassOf(const control::Configuration& configuration,
                              const CompletionRequest& request);

/// The class as metrics name it: "short", "medium", "long" or "giant".
std::string_view ToString(policy::SizeClass size_class);

/// Callbacks that pass everything on to `answer` and count it; the time to
/// first token begins now. `metrics` outlives the callbacks.
AnswerCallbacks MeterCompletion(metrics::EntryMetrics& metrics,
                                policy::SizeClass size_class,
                                AnswerCallbacks answer);

/// The same for a call to a plain service, which has no first token.
AnswerCallbacks MeterServiceCall(metrics::EntryMetrics& metrics,
                                 AnswerCallbacks answer);

/// Counts a request that was refused before it began.
void CountRefusal(metrics::EntryMetrics& metrics, const Error& error);

}  // namespace peridotshelf::entry
