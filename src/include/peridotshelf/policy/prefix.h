/// Hashes of a prompt's prefixes, used to find engines that have a prefix in
/// their cache.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotshelf::policy {

/// Bytes of prompt text in one block, about 256 tokens.
inline constexpr size_t kPrefixBlockBytes = 1024;

/// Returns the hashes of the first 1, 2, 4, 8 ... whole blocks of `prompt`;
/// empty if it is shorter than one block. Prompts that share the first n blocks
/// share the hashes of all depths up to n, so a few hashes represent a long
/// prefix.
std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt);

}  // namespace peridotshelf::policy
