/// Size classes of requests, which select the limits that apply to them.
#pragma once

#include <cstdint>

namespace peridotshelf::policy {

/// Size class of a request.
enum class SizeClass { kShort = 1, kMedium = 2, kLong = 3, kGiant = 4 };

/// Prompts below this many tokens are short.
inline constexpr int64_t kShortPromptTokens = 8'000;
/// Prompts below this many tokens, and not short, are medium.
inline constexpr int64_t kMediumPromptTokens = 100'000;

/// Returns the size class of a request. A request is giant if prompt and answer
/// together exceed the memory of one engine, whatever the prompt's length.
constexpr SizeClass ClassifySize(int64_t prompt_tokens, int64_t max_tokens,
                                 int64_t engine_memory_tokens) {
  if (prompt_tokens + max_tokens > engine_memory_tokens) {
    return SizeClass::kGiant;
  }
  if (prompt_tokens < kShortPromptTokens) return SizeClass::kShort;
  if (prompt_tokens < kMediumPromptTokens) return SizeClass::kMedium;
  return SizeClass::kLong;
}

/// Returns whether a prefill of this class slows an engine's other streams for
/// seconds.
constexpr bool IsLong(SizeClass size_class) {
  return size_class == SizeClass::kLong || size_class == SizeClass::kGiant;
}

/// Returns the priority of a request at its engine: ordered by the team's
/// priority, then short prompts first, since they delay others least.
constexpr int32_t ComputeEnginePriority(int32_t team_priority,
                                        SizeClass size_class) {
  return team_priority * 2 + (size_class == SizeClass::kShort ? 1 : 0);
}

/// Returns whether the class uses the engines reserved for long prompts. Medium
/// prompts do, since their prefill also multiplies the inter-token latency of
/// short requests.
constexpr bool UsesLongPool(SizeClass size_class) {
  return size_class != SizeClass::kShort;
}

}  // namespace peridotshelf::policy
