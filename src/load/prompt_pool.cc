#include "peridotshelf/load/prompt_pool.h"

#include <algorithm>
#include <random>

#include "peridotshelf/settings/values.h"
#include "peridotshelf/standin/engine_standin.h"

namespace peridotshelf::load {
namespace {

constexpr int64_t kMaxPromptTokens = 10'000'000;
constexpr int kVocabularySize = 100'000;
/// Total tokens of the prompts of one part of the mix; limits the memory that
/// long prompts take.
constexpr int64_t kMaxPoolTokensPerPart = 4'000'000;
constexpr int64_t kMinPromptsPerPart = 2;
constexpr int64_t kMaxPromptsPerPart = 64;

Prompt MakePrompt(int64_t tokens, size_t part, std::mt19937_64& random) {
  std::uniform_int_distribution<int> token(0, kVocabularySize - 1);
  Prompt prompt;
  prompt.tokens = tokens;
  prompt.part = part;
  prompt.json = "[";
  for (int64_t i = 0; i < tokens; ++i) {
    if (i > 0) prompt.json += ',';
    prompt.json += std::to_string(token(random));
  }
  prompt.json += ']';
  prompt.hash = standin::HashPrompt(prompt.json).value_or(0);
  return prompt;
}

Result<MixPart> ParsePart(std::string_view text) {
  const size_t colon = text.find(':');
  const auto tokens = settings::ParseInteger(text.substr(0, colon));
  const auto weight = colon == std::string_view::npos
                          ? std::optional<double>(1)
                          : settings::ParseReal(text.substr(colon + 1));
  const bool valid = tokens && *tokens >= 1 && *tokens <= kMaxPromptTokens &&
                     weight && *weight > 0;
  if (!valid)
    return Fail(ErrorCode::kInvalidField,
                "not a valid TOKENS:WEIGHT: " + std::string(text));
  return MixPart{*tokens, *weight};
}

}  // namespace

Result<std::vector<MixPart>> ParseMix(std::string_view text) {
  std::vector<MixPart> mix;
  while (true) {
    const size_t comma = text.find(',');
    const Result<MixPart> part = ParsePart(text.substr(0, comma));
    if (!part) return tl::unexpected<Error>(part.error());
    mix.push_back(*part);
    if (comma == std::string_view::npos) return mix;
    text.remove_prefix(comma + 1);
  }
}

PromptPool::PromptPool(std::span<const MixPart> mix, uint64_t seed)
    : m_mix(mix.begin(), mix.end()), m_seed(seed) {
  std::mt19937_64 random(seed);
  for (size_t part = 0; part < m_mix.size(); ++part) {
    const int64_t count = std::clamp(kMaxPoolTokensPerPart / m_mix[part].tokens,
                                     kMinPromptsPerPart, kMaxPromptsPerPart);
    std::vector<Prompt>& prompts = m_prompts.emplace_back();
    for (int64_t i = 0; i < count; ++i) {
      prompts.push_back(MakePrompt(m_mix[part].tokens, part, random));
    }
  }
}

const Prompt& PromptPool::Pick(uint64_t index) const {
  // A generator per request makes the choice independent of thread timing.
  std::seed_seq seed{m_seed, index};
  std::minstd_rand random(seed);
  double total = 0;
  for (const MixPart& part : m_mix) total += part.weight;
  double position = std::uniform_real_distribution<>(0, total)(random);
  size_t chosen = 0;
  while (chosen + 1 < m_mix.size() && position >= m_mix[chosen].weight) {
    position -= m_mix[chosen].weight;
    ++chosen;
  }
  const std::vector<Prompt>& prompts = m_prompts[chosen];
  std::uniform_int_distribution<size_t> pick(0, prompts.size() - 1);
  return prompts[pick(random)];
}

std::string ExpectedAnswer(const Prompt& prompt, int64_t chunks) {
  std::string answer;
  for (int64_t i = 0; i < chunks; ++i) {
    answer += standin::MakeAnswerChunk(prompt.hash, i);
  }
  return answer;
}

}  // namespace peridotshelf::load
