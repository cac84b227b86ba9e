// Runs admission filters in order and counts refusals.
#include <optional>
#include <utility>

#include "dotterelbarrow/core/admission.h"

namespace dotterelbarrow::core {

FilterChain::FilterChain(std::vector<std::unique_ptr<RequestFilter>> filters,
                         Counters* counters)
    : filters_(std::move(filters)), counters_(counters) {}

std::optional<Answer> FilterChain::Apply(WorkRequest* request,
                                         base::TimePoint now) {
  for (const auto& filter : filters_) {
    std::optional<Answer> answer = filter->Apply(request, now);
    if (answer) {
      counters_->Increment("refusals", ToString(answer->reason));
      return answer;
    }
  }
  return std::nullopt;
}

}  // namespace dotterelbarrow::core
