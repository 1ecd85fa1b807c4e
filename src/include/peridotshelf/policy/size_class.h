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
constexpr SizeClass ClassifySize(int64_t prompt_tokens, int64_t max_tokens,
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

/// The priority under which an engine runs a request: the team's first; then
/// short prompts, which delay others least.
constexpr int32_t EnginePriority(int32_t team_priority, SizeClass size_class) {
  return team_priority * 2 + (size_class == SizeClass::kShort ? 1 : 0);
}

/// Whether the class belongs on the engines kept for long prompts. Medium ones
/// do: their prefill, too, multiplies the time between a short one's tokens.
constexpr bool UsesLongPool(SizeClass size_class) {
  return size_class != SizeClass::kShort;
}

}  // namespace peridotshelf::policy
