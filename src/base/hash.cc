// Implements StableHash with xxHash.
#include "dotterelbarrow/base/hash.h"

#include <xxhash.h>

namespace dotterelbarrow::base {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace dotterelbarrow::base
