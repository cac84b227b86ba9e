// Admission control: the chain of filters that checks every caller's request
// before a controller handles it. The filters check that the entry host is not
// shutting down, the request's format and sizes, its service, and its key and
// team.
//
// A filter either lets a request pass, possibly after filling in missing
// fields, or rejects it with an answer. The first rejection ends the chain. To
// add a filter, derive a class from RequestFilter and add it in
// MakeAdmissionChain.
#ifndef DOTTERELBARROW_CORE_ADMISSION_H_
#define DOTTERELBARROW_CORE_ADMISSION_H_

#include <memory>
#include <optional>
#include <vector>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/config_controller.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

class RequestFilter {
 public:
  virtual ~RequestFilter() = default;

  // Returns the answer that rejects `request`, or nothing to let it pass. The
  // outcome of a rejection is always kNotRun: the request was not started and
  // never will be.
  virtual std::optional<Answer> Apply(WorkRequest* request,
                                      base::TimePoint now) = 0;
};

class FilterChain {
 public:
  explicit FilterChain(std::vector<std::unique_ptr<RequestFilter>> filters,
                       Counters* counters);

  // Runs the filters in order until one rejects the request. Counts a rejection
  // by its reason. Returns nothing if all filters let the request pass.
  std::optional<Answer> Apply(WorkRequest* request, base::TimePoint now);

 private:
  std::vector<std::unique_ptr<RequestFilter>> filters_;
  Counters* counters_;
};

// Builds the admission chain of an entry host. All objects pointed to must
// outlive the chain. `*shutting_down` is read at each request.
FilterChain MakeAdmissionChain(const NodeSettings* settings,
                               const ConfigController* config,
                               const bool* shutting_down, Counters* counters);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_ADMISSION_H_
