#include "peridotshelf/control/publisher.h"

namespace peridotshelf::control {

std::string_view ToString(PublishOutcome outcome) {
  switch (outcome) {
    case PublishOutcome::kAccepted:
      return "accepted";
    case PublishOutcome::kSuperseded:
      return "lost";
    case PublishOutcome::kInvalid:
      return "invalid";
    case PublishOutcome::kNotAppended:
      return "not_appended";
    case PublishOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace peridotshelf::control
