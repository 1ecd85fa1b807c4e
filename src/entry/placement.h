/// Chooses where a request may run.
#pragma once

#include <string>

#include "entry/requests.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/control/configuration.h"

namespace peridotshelf::entry {

/// One place to run at.
struct Candidate {
  HostId host;
  /// The engine's or plain backend server's id.
  std::string backend;
};

/// An engine for the prompt, or kUnknownModel, kTooLarge or kNoBackend.
Result<Candidate> PlaceCompletion(const control::ControlState& state,
                                  const CompletionRequest& request);

/// A plain backend server, or kUnknownService or kNoBackend.
Result<Candidate> PlaceServiceCall(const control::ControlState& state,
                                   const ServiceRequest& request);

}  // namespace peridotshelf::entry
