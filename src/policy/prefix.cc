#include "peridotshelf/policy/prefix.h"

#include <xxhash.h>

namespace peridotshelf::policy {

std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt) {
  std::vector<uint64_t> hashes;
  uint64_t hash = 0;
  size_t begin = 0;
  for (size_t end = kPrefixBlockBytes; end <= prompt.size(); end *= 2) {
    hash = XXH3_64bits_withSeed(prompt.data() + begin, end - begin, hash);
    hashes.push_back(hash);
    begin = end;
  }
  return hashes;
}

}  // namespace peridotshelf::policy
