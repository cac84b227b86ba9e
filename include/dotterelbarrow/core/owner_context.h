// State and dependencies that the controllers of a shard owner share.
#ifndef DOTTERELBARROW_CORE_OWNER_CONTEXT_H_
#define DOTTERELBARROW_CORE_OWNER_CONTEXT_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/core/backend_pool.h"
#include "dotterelbarrow/core/counters.h"
#include "dotterelbarrow/core/ended_task_cache.h"
#include "dotterelbarrow/core/membership.h"
#include "dotterelbarrow/core/outbox.h"
#include "dotterelbarrow/core/pending_queue.h"
#include "dotterelbarrow/core/settings.h"
#include "dotterelbarrow/core/task_table.h"

namespace dotterelbarrow::core {

struct OwnerContext {
  OwnerContext(const NodeSettings* the_settings, Outbox* the_outbox,
               Counters* the_counters, const Membership* the_membership,
               std::uint64_t seed)
      : settings(the_settings),
        outbox(the_outbox),
        counters(the_counters),
        membership(the_membership),
        random(seed),
        pool(the_settings->self) {}

  const NodeSettings* settings;
  Outbox* outbox;
  Counters* counters;
  const Membership* membership;
  std::mt19937_64 random;

  BackendPool pool;
  TaskTable tasks;
  EndedTaskCache memory;
  PendingQueue pending;
  // The highest manager epoch seen for each partition.
  std::map<base::PartitionId, base::Epoch> manager_epochs;
  // Backend servers to which commands have to be sent at the next tick.
  std::set<BackendIndex> dirty;
  // Backend servers whose free capacity grew, so that queued tasks may now fit.
  std::set<BackendIndex> freed;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_OWNER_CONTEXT_H_
