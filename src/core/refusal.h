// Builds the answers for requests that were refused or whose outcome is
// unknown.
#ifndef DOTTERELBARROW_SRC_CORE_REFUSAL_H_
#define DOTTERELBARROW_SRC_CORE_REFUSAL_H_

#include <string>
#include <utility>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

// Returns an answer with outcome kNotRun for the request `id`. Use it only if
// no message that could have started the request was sent.
inline Answer MakeRefusal(const base::RequestId& id, Reason reason,
                          std::string detail,
                          base::Duration retry_after = base::Duration(0)) {
  Answer answer;
  answer.id = id;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  answer.detail = std::move(detail);
  answer.retry_after = retry_after;
  return answer;
}

// Returns an answer with outcome kUnknown for the request `id`, which may have
// run.
inline Answer MakeUnknown(const base::RequestId& id, std::string detail) {
  Answer answer;
  answer.id = id;
  answer.outcome = Outcome::kUnknown;
  answer.reason = Reason::kConnectionLost;
  answer.detail = std::move(detail);
  return answer;
}

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_REFUSAL_H_
