/// Reads the body of POST /v1/completions in one pass. The prompt, which may
/// have a million tokens, is checked and counted where it stands, not copied.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "peridotshelf/base/error.h"

namespace peridotshelf::entry {

/// What the body says; `prompt_json` is a part of the body.
struct CompletionBody {
  std::string model;
  std::string_view prompt_json;
  /// Exact for token arrays, estimated for text.
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 16;
  bool stream = false;
};

/// Reads `body`, or fails with kBadField naming the field and what is allowed.
/// Fields that are not known are passed over.
Result<CompletionBody> ReadCompletionBody(std::string_view body);

}  // namespace peridotshelf::entry
