// The JSON of the page that explains where a job would be placed.
#ifndef DOTTERELBARROW_SRC_MEMBER_EXPLAIN_PAGE_H_
#define DOTTERELBARROW_SRC_MEMBER_EXPLAIN_PAGE_H_

#include <string>

#include "dotterelbarrow/core/scheduler/scheduler.h"
#include "dotterelbarrow/wire/http_server.h"

namespace dotterelbarrow::member {

std::string ExplanationBody(const core::scheduler::Explanation& explanation);

// Answers GET /explain/ID about a submitted job, and POST
// /explain?queue=..&organisation=.. about the job in the body, which has the
// form of a submission and is not submitted.
wire::HttpReply ExplainReply(const core::scheduler::Scheduler& scheduler,
                             const wire::HttpRequest& request,
                             base::TimePoint now);

}  // namespace dotterelbarrow::member

#endif  // DOTTERELBARROW_SRC_MEMBER_EXPLAIN_PAGE_H_
