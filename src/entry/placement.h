/// Chooses where a request may run.
#pragma once

#include <functional>
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

/// Whether the entry has a connection to a host's side.
using Reachable = std::function<bool(const HostId&)>;

/// An engine for the prompt, or kUnknownModel, kTooLarge or kNoBackend.
Result<Candidate> PlaceCompletion(const control::ControlState& state,
                                  const CompletionRequest& request,
                                  const Reachable& reachable);

/// A plain backend server, or kUnknownService or kNoBackend.
Result<Candidate> PlaceServiceCall(const control::ControlState& state,
                                   const ServiceRequest& request,
                                   const Reachable& reachable);

}  // namespace peridotshelf::entry
