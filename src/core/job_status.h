// The status of a job that is in progress or has ended.
#ifndef DOTTERELBARROW_SRC_CORE_JOB_STATUS_H_
#define DOTTERELBARROW_SRC_CORE_JOB_STATUS_H_

#include "dotterelbarrow/core/job_table.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

// Returns the durable final answer of `job`, or else its progress.
Answer StatusOf(const Job& job);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_JOB_STATUS_H_
