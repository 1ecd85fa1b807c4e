/// Reads the body of POST /v1/completions in one pass. The prompt, which may
/// have a million tokens, is validated and counted in place, without a copy.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "peridotshelf/base/error.h"

namespace peridotshelf::entry {

/// The fields of the body; `prompt_json` is a view into the body.
struct CompletionBody {
  std::string model;
  std::string_view prompt_json;
  /// Exact for token arrays, estimated for text.
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 16;
  bool stream = false;
};

/// Reads `body`. Fails with kInvalidField, whose detail names the field and its
/// allowed values. Unknown fields are ignored.
Result<CompletionBody> ReadCompletionBody(std::string_view body);

}  // namespace peridotshelf::entry
