/// The prompts that a load run sends, the same for the same seed.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/error.h"

namespace peridotshelf::load {

/// Prompts of one length and how often they are sent.
struct MixPart {
  int64_t tokens = 0;
  double weight = 0;
};

/// Reads "TOKENS:WEIGHT,TOKENS:WEIGHT", such as "1000:98,200000:2", or
/// kBadField.
Result<std::vector<MixPart>> ParseMix(std::string_view text);

/// One prompt as its JSON value, an array of token numbers.
struct Prompt {
  std::string json;
  int64_t tokens = 0;
  /// The part of the mix that it belongs to.
  size_t part = 0;
  /// What the stand-in engine derives its answer from.
  uint64_t hash = 0;
};

/// Prompts made ahead of the run, a few of each length.
class PromptPool {
 public:
  PromptPool(std::span<const MixPart> mix, uint64_t seed);

  /// The prompt of the request numbered `index`.
  const Prompt& Pick(uint64_t index) const;
  /// The parts of the mix.
  std::span<const MixPart> mix() const { return m_mix; }

 private:
  std::vector<MixPart> m_mix;
  uint64_t m_seed;
  /// For each part, its prompts.
  std::vector<std::vector<Prompt>> m_prompts;
};

/// The whole answer that the stand-in engine gives to a prompt.
std::string ExpectedAnswer(const Prompt& prompt, int64_t chunks);

}  // namespace peridotshelf::load
