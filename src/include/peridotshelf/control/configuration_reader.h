/// Reads configuration documents and reports the path of every error.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "peridotshelf/control/configuration.h"

namespace peridotshelf::control {

/// One error in a document.
struct ConfigurationError {
  /// JSON pointer to the value, such as "/engines/2/slots"; "" is the whole
  /// document.
  std::string path;
  /// Human-readable error, including the allowed values.
  std::string message;

  friend bool operator==(const ConfigurationError&,
                         const ConfigurationError&) = default;
};

using ConfigurationErrors = std::vector<ConfigurationError>;

/// A valid configuration, or all errors in document order.
using ConfigurationResult =
    tl::expected<std::shared_ptr<const Configuration>, ConfigurationErrors>;

/// Maximum nesting depth; a deeper document is rejected before it is parsed.
inline constexpr int kMaxDocumentDepth = 16;

/// Reads a JSON document with the fields of `Configuration`.
ConfigurationResult ReadConfiguration(std::string_view document);

/// Whether the arrays and objects in `text` nest at most `limit` levels deep,
/// so that recursive parsers cannot exhaust the stack. Ignores brackets inside
/// strings.
bool NestsAtMost(std::string_view text, int limit);

}  // namespace peridotshelf::control
