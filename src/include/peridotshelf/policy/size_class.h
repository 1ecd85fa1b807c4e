/// Classes of prompt length, which decide the limits a request is held to.
#pragma once

#include <cstdint>

namespace peridotshelf::policy {

/// How long a prompt is.
enum class SizeClass { kShort = 1, kMedium = 2, kLong = 3, kGiant = 4 };

/// Prompts below this many tokens are short.
inline constexpr int64_t kShortPromptTokens = 8'000;
/// Prompts below this many tokens, and not short, are medium.
inline constexpr int64_t kMediumPromptTokens = 100'000;

/// The class of a request. It is giant when prompt and answer together exceed
/// the memory of one engine, whatever the prompt's length.
constexpr SizeClass ClassOf(int64_t prompt_tokens, int64_t max_tokens,
                            int64_t engine_memory_tokens) {
  if (prompt_tokens + max_tokens > engine_memory_tokens) {
    return SizeClass::kGiant;
  }
  if (prompt_tokens < kShortPromptTokens) return SizeClass::kShort;
  if (prompt_tokens < kMediumPromptTokens) return SizeClass::kMedium;
  return SizeClass::kLong;
}

/// Whether a prefill of this class slows an engine's other streams for
/// seconds.
constexpr bool IsLong(SizeClass size_class) {
  return size_class == SizeClass::kLong || size_class == SizeClass::kGiant;
}

}  // namespace peridotshelf::policy
