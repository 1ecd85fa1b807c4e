#include "bench/workload.h"

#include <cmath>
#include <random>

namespace peridotshelf::bench {

namespace {

constexpr int kTeams = 10;
/// Fractions of the requests; the remaining 2% have long prompts.
constexpr double kShortFraction = 0.70;
constexpr double kMediumFraction = 0.28;
/// Number of documents per size class; few of them are popular.
constexpr int kDocuments = 400;
/// Fraction of a prompt that is its document.
constexpr double kDocumentFraction = 0.9;
/// Longer prompts need a multi-engine request, which is not simulated.
constexpr int64_t kMaxPromptTokens = 400'000;

struct ClassShape {
  int64_t min_prompt_tokens;
  int64_t max_prompt_tokens;
  int64_t min_output_tokens;
  int64_t max_output_tokens;
  double timeout;
};

constexpr ClassShape kShortShape{1'000, 8'000, 50, 300, 30};
constexpr ClassShape kMediumShape{8'000, 100'000, 100, 500, 90};
constexpr ClassShape kLongShape{100'000, kMaxPromptTokens, 200, 800, 300};

uint64_t HashInteger(uint64_t value) {
  value += 0x9E3779B97F4A7C15U;
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9U;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBU;
  return value ^ (value >> 31);
}

/// Returns the length in tokens of all prompts over `document`. Lengths are
/// log-uniform over documents.
int64_t PromptLength(const ClassShape& shape, uint64_t document) {
  const double fraction =
      static_cast<double>(HashInteger(document) >> 11) * 0x1p-53;
  const double ratio = static_cast<double>(shape.max_prompt_tokens) /
                       static_cast<double>(shape.min_prompt_tokens);
  return static_cast<int64_t>(static_cast<double>(shape.min_prompt_tokens) *
                              std::pow(ratio, fraction));
}

SimRequest MakeRequest(std::mt19937_64& random) {
  std::uniform_real_distribution<double> unit(0, 1);
  const double class_draw = unit(random);
  const bool is_short = class_draw < kShortFraction;
  const bool is_medium =
      !is_short && class_draw < kShortFraction + kMediumFraction;
  const ClassShape& shape = is_short    ? kShortShape
                            : is_medium ? kMediumShape
                                        : kLongShape;
  const uint64_t class_number = is_short ? 1 : is_medium ? 2 : 3;
  // The product of two uniform values makes low numbers popular.
  const double document_draw = unit(random) * unit(random);
  const auto document_number =
      static_cast<uint64_t>(document_draw * kDocuments);
  SimRequest request;
  request.document = HashInteger(class_number << 32 | document_number);
  request.prompt_tokens = PromptLength(shape, request.document);
  request.document_tokens = static_cast<int64_t>(
      kDocumentFraction * static_cast<double>(request.prompt_tokens));
  std::uniform_int_distribution<int64_t> output(shape.min_output_tokens,
                                                shape.max_output_tokens);
  request.output_tokens = output(random);
  request.max_tokens = shape.max_output_tokens;
  request.timeout = shape.timeout;
  // A few teams are large.
  request.team = static_cast<int>(kTeams * unit(random) * unit(random));
  return request;
}

}  // namespace

Deployment Hallstrom() {
  Deployment deployment;
  deployment.name = "Hallstrom";
  deployment.engines = 16;
  deployment.domain_delay = 0.0015;
  deployment.preset.short_weight = 4;
  deployment.preset.long_weight = 1;
  deployment.preset.long_engine_fraction = 0.8;
  deployment.preset.short_reserve = 0.05;
  return deployment;
}

Deployment Cierre() {
  Deployment deployment;
  deployment.name = "Cierre";
  deployment.engines = 25;
  deployment.domain_delay = 0.0005;
  deployment.preset.short_weight = 1;
  deployment.preset.long_weight = 4;
  deployment.preset.long_engine_fraction = 0.86;
  deployment.preset.short_reserve = 0;
  deployment.preset.max_long_prefills = 2;
  return deployment;
}

std::vector<SimRequest> MakeWorkload(double rate, double seconds, uint64_t seed,
                                     const TrafficMix& mix,
                                     int64_t memory_tokens) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(rate);
  std::vector<SimRequest> requests;
  int next_id = 0;
  for (double now = gap(random); now < seconds; now += gap(random)) {
    SimRequest request = MakeRequest(random);
    request.id = next_id++;
    request.arrival = now;
    request.size_class = policy::ClassifySize(
        request.prompt_tokens, request.max_tokens, memory_tokens);
    const bool is_short = request.size_class == policy::SizeClass::kShort;
    if (is_short ? mix.include_short : mix.include_others)
      requests.push_back(request);
  }
  return requests;
}

}  // namespace peridotshelf::bench
