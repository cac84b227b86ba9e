// The organisations of a load pattern: their unequal parts of the load, and
// what the jobs of each earn.
#ifndef DOTTERELBARROW_BENCH_EXPERIMENT_ORGANISATIONS_H_
#define DOTTERELBARROW_BENCH_EXPERIMENT_ORGANISATIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/experiment/pattern.h"
#include "dotterelbarrow/core/desired/desired_state.h"

namespace dotterelbarrow::bench {

class Organisations {
 public:
  explicit Organisations(const Pattern& pattern);

  // Returns by which factor jobs arrive more often at this time, because an
  // organisation submits more than its usual part.
  double LoadAt(double at_s) const;
  // Returns the organisation of the `job`-th job, submitted at this time. The
  // same job has the same organisation in each run with the seed.
  std::size_t OrganisationOf(std::uint64_t job, std::uint64_t seed,
                             double at_s) const;
  // The organisations as configured, each with its share.
  std::vector<core::desired::Organisation> Configured() const;
  base::OrganisationId IdOf(std::size_t organisation) const;

  // Adds a job of the organisation that could earn `value`.
  void AddJob(std::size_t organisation, double value) {
    value_[organisation] += value;
  }
  void AddEarned(std::size_t organisation, double earned) {
    earned_[organisation] += earned;
  }
  // Returns the fraction of its value that each organisation has earned, the
  // lowest first; with `only_steady`, of those without bursts of their own.
  std::vector<double> EarnedFractions(bool only_steady) const;

 private:
  double PartAt(std::size_t organisation, double at_s) const;

  OrganisationSettings settings_;
  // Jobs per second of all kinds, without bursts.
  double jobs_per_s_ = 0;
  // Parts of the load; their sum is 1.
  std::vector<double> parts_;
  std::vector<double> value_;
  std::vector<double> earned_;
};

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_EXPERIMENT_ORGANISATIONS_H_
