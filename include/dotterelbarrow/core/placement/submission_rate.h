// Tells which jobs an organisation hands in beyond its weight.
//
// Load pattern: one organisation sends several times its usual. Its weight is
// also the number of jobs a second that it is owed; what is beyond keeps its
// place behind the work of others, so that they notice nothing.
#ifndef DOTTERELBARROW_CORE_PLACEMENT_SUBMISSION_RATE_H_
#define DOTTERELBARROW_CORE_PLACEMENT_SUBMISSION_RATE_H_

#include <unordered_map>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"

namespace dotterelbarrow::core::placement {

class SubmissionRates {
 public:
  // Seconds of its rate that an organisation may send at once.
  static constexpr double kBurstSeconds = 2.0;

  // Counts one job; returns whether it is within `weight` jobs a second.
  bool Take(const base::OrganisationId& organisation, double weight,
            base::TimePoint now);

 private:
  struct Bucket {
    double jobs = 0;
    base::TimePoint filled_at;
  };
  std::unordered_map<base::OrganisationId, Bucket> buckets_;
};

}  // namespace dotterelbarrow::core::placement

#endif  // DOTTERELBARROW_CORE_PLACEMENT_SUBMISSION_RATE_H_
