// Hash functions that return the same result in every process, for decisions
// that several processes must make identically.
#ifndef DOTTERELBARROW_BASE_HASH_H_
#define DOTTERELBARROW_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace dotterelbarrow::base {

// Returns a 64-bit hash of `text` and `seed`, the same in every process.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Mixes the bits of `value`, so that similar values get very different hashes.
// The function is a bijection: no two values have the same result.
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

// Rendezvous hashing for one subject (a shard, for example): the subject is
// assigned to the candidate with the highest weight.
class RendezvousSubject {
 public:
  explicit RendezvousSubject(std::string_view subject)
      : seed_(StableHash(subject)) {}

  std::uint64_t Weight(std::string_view candidate) const {
    return StableHash(candidate, seed_);
  }

 private:
  std::uint64_t seed_;
};

}  // namespace dotterelbarrow::base

#endif  // DOTTERELBARROW_BASE_HASH_H_
