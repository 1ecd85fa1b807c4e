/// Generates the prompts of a load run; the same seed gives the same prompts.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/error.h"

namespace peridotshelf::load {

/// One prompt length of a mix and its relative frequency.
struct MixPart {
  int64_t tokens = 0;
  double weight = 0;
};

/// Parses "TOKENS:WEIGHT,TOKENS:WEIGHT", such as "1000:98,200000:2". Returns
/// kInvalidField if it is malformed.
Result<std::vector<MixPart>> ParseMix(std::string_view text);

/// One prompt.
struct Prompt {
  /// JSON array of token IDs.
  std::string json;
  int64_t tokens = 0;
  /// Index of its part of the mix.
  size_t part = 0;
  /// Hash from which the simulated engine derives its answer.
  uint64_t hash = 0;
};

/// Prompts generated before the run, a few of each length.
class PromptPool {
 public:
  PromptPool(std::span<const MixPart> mix, uint64_t seed);

  /// Returns the prompt of the request number `index`.
  const Prompt& Pick(uint64_t index) const;
  std::span<const MixPart> mix() const { return m_mix; }

 private:
  std::vector<MixPart> m_mix;
  uint64_t m_seed;
  /// Prompts by part of the mix.
  std::vector<std::vector<Prompt>> m_prompts;
};

/// Returns the complete answer of the simulated engine to a prompt.
std::string ExpectedAnswer(const Prompt& prompt, int64_t chunks);

}  // namespace peridotshelf::load
