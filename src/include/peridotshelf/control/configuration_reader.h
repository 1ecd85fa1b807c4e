/// Reads configuration documents and names every fault in them by its path.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "peridotshelf/control/configuration.h"

namespace peridotshelf::control {

/// One reason why a document is not valid.
struct ConfigurationError {
  /// JSON pointer to the value, such as "/engines/2/slots"; "" is the whole.
  std::string path;
  /// What is wrong and what is allowed, for people.
  std::string message;

  friend bool operator==(const ConfigurationError&,
                         const ConfigurationError&) = default;
};

using ConfigurationErrors = std::vector<ConfigurationError>;

/// A valid configuration, or all faults of the document in its order.
using ConfigurationResult =
    tl::expected<std::shared_ptr<const Configuration>, ConfigurationErrors>;

/// A document is refused whole when it nests deeper than this.
inline constexpr int kMaxDocumentDepth = 16;

/// Reads a JSON document whose fields are those of `Configuration`.
ConfigurationResult ReadConfiguration(std::string_view document);

/// Whether `text` nests at most `limit` arrays and objects, so that recursive
/// readers of it are safe. Brackets inside strings do not count.
bool NestsAtMost(std::string_view text, int limit);

}  // namespace peridotshelf::control
