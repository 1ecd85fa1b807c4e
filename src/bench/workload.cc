#include "bench/workload.h"

#include <cmath>
#include <random>

namespace peridotshelf::bench {

namespace {

constexpr int kTeams = 10;
/// Parts of the traffic; one prompt in fifty is long.
constexpr double kShortPart = 0.70;
constexpr double kMediumPart = 0.28;
/// A class of prompts is over this many documents, few of them popular.
constexpr int kDocuments = 400;
/// Part of a prompt that is its document.
constexpr double kDocumentPart = 0.9;
/// Prompts above this need a gang, which is not simulated.
constexpr int64_t kLongestPrompt = 400'000;

struct ClassShape {
  int64_t shortest;
  int64_t longest;
  int64_t fewest_output;
  int64_t most_output;
  double window;
};

constexpr ClassShape kShort{1'000, 8'000, 50, 300, 30};
constexpr ClassShape kMedium{8'000, 100'000, 100, 500, 90};
constexpr ClassShape kLong{100'000, kLongestPrompt, 200, 800, 300};

uint64_t Mixed(uint64_t value) {
  value += 0x9E3779B97F4A7C15U;
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9U;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBU;
  return value ^ (value >> 31);
}

/// Lengths are log-uniform; a document's length is fixed by its number.
int64_t LengthOf(const ClassShape& shape, uint64_t document) {
  const double part = static_cast<double>(Mixed(document) >> 11) * 0x1p-53;
  const double ratio =
      static_cast<double>(shape.longest) / static_cast<double>(shape.shortest);
  return static_cast<int64_t>(static_cast<double>(shape.shortest) *
                              std::pow(ratio, part));
}

SimRequest MakeRequest(std::mt19937_64& random) {
  std::uniform_real_distribution<double> unit(0, 1);
  const double which = unit(random);
  const bool is_short = which < kShortPart;
  const bool is_medium = !is_short && which < kShortPart + kMediumPart;
  const ClassShape& shape = is_short ? kShort : is_medium ? kMedium : kLong;
  const uint64_t kind = is_short ? 1 : is_medium ? 2 : 3;
  // The square makes low numbers popular.
  const double pick = unit(random) * unit(random);
  const auto number = static_cast<uint64_t>(pick * kDocuments);
  SimRequest request;
  request.document = Mixed(kind << 32 | number);
  request.prompt_tokens = LengthOf(shape, request.document);
  request.document_tokens = static_cast<int64_t>(
      kDocumentPart * static_cast<double>(request.prompt_tokens));
  std::uniform_int_distribution<int64_t> output(shape.fewest_output,
                                                shape.most_output);
  request.output_tokens = output(random);
  request.max_tokens = shape.most_output;
  request.window = shape.window;
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
                                     const Mix& mix, int64_t memory_tokens) {
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
    if (is_short ? mix.shorts : mix.others) requests.push_back(request);
  }
  return requests;
}

}  // namespace peridotshelf::bench
