#include "peridotshelf/base/ids.h"

#include <array>
#include <random>

namespace peridotshelf {

std::string MakeRandomId() {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr size_t kLength = 32;
  constexpr int kBitsPerDigit = 4;
  thread_local std::mt19937_64 engine{std::random_device{}()};
  std::string id;
  id.reserve(kLength);
  while (id.size() < kLength) {
    uint64_t bits = engine();
    for (int i = 0; i < 64; i += kBitsPerDigit) {
      id.push_back(kDigits[(bits >> i) & 0xF]);
    }
  }
  return id;
}

}  // namespace peridotshelf
