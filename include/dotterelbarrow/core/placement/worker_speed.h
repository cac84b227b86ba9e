// An estimate of how slow one worker is, from the runs that ended on it.
//
// Load pattern: some workers take 1.6 times as long as others all the time,
// some only for a few seconds, and 3% of all runs take 7 times as long on any
// worker.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_WORKER_SPEED_H_
#define DOTTERELBARROW_CORE_PLACEMENT_WORKER_SPEED_H_

#include <cstdint>

#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::placement {

class WorkerSpeed {
 public:
  // One run: the logarithm of its run time relative to that of the same task on
  // a worker of typical speed, and the inverse of the variance of that.
  struct Sample {
    double log_slowness = 0;
    double weight = 0;
  };
  // When the run of a sample took place.
  struct Interval {
    base::TimePoint started_at;
    base::TimePoint ended_at;
  };

  // Returns the sample with its distance from the current estimate limited, so
  // that a task that takes much longer than others does not make its worker
  // slow.
  Sample Clip(const Sample& sample) const;
  // Replaces a sample of a run; `old_sample` has the weight 0 if it is new.
  // Samples of a previous generation can't be replaced.
  void Replace(const Sample& old_sample, const Sample& new_sample,
               const Interval& interval, base::TimePoint now);
  // Lets all samples lose weight.
  void DecayTo(base::TimePoint now);
  // Shifts the estimate by `offset` if it rests on samples alone.
  void Shift(double offset);
  // Discards all samples.
  void Clear();
  // Restores an estimate of a previous owner.
  void Restore(const Sample& sample, base::TimePoint now);

  // The logarithm of the slowness, shrunk towards 0 while there is little data.
  double log_slowness() const;
  // The variance of that.
  double variance() const;
  double weight() const { return sums_.weight; }
  // Whether there is enough data for decisions.
  bool is_known() const;
  // Changes when earlier samples were discarded.
  std::uint64_t generation() const { return generation_; }

 private:
  // Sums of the samples' weights, and of their products with the weights. The
  // weights decay.
  struct Sums {
    double weight = 0;
    double product = 0;

    void Scale(double factor) {
      weight *= factor;
      product *= factor;
    }
    void Add(const Sample& sample, double factor) {
      weight += factor * sample.weight;
      product += factor * sample.weight * sample.log_slowness;
    }
  };

  // A cumulative sum test for a change of the speed in one direction: how far
  // recent samples were off the estimate, in standard deviations less an
  // allowance, and these samples. Both begin anew when the sum is not positive.
  struct Drift {
    double sum = 0;
    Sums samples;
    base::TimePoint since;
    // When the run of the first of the samples started. Runs that started
    // earlier, at the old speed, may end later and say nothing against a
    // change.
    base::TimePoint first_start;
  };

  // Adds to the test, in the direction of `sign`; returns whether the speed has
  // changed. With `may_recover`, less is needed towards the typical speed.
  static bool HasChanged(Drift* drift, double sign, double estimate,
                         const Sample& old_sample, const Sample& new_sample,
                         const Interval& interval, bool may_recover,
                         base::TimePoint now);

  Sums sums_;
  Drift slower_;
  Drift faster_;
  base::TimePoint recovers_until_;
  base::TimePoint decayed_to_;
  std::uint64_t generation_ = 0;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_WORKER_SPEED_H_
