// What the store keeps of a worker as long as anything may run there, so that
// the next owner can claim it although the platform doesn't list it any more:
// {"address","cpu","memory","accelerators"}, in millicores and mebibytes, and
// "leases_end_ms" of a silent one.
#ifndef DOTTERELBARROW_CORE_WORKERS_WORKER_RECORD_H_
#define DOTTERELBARROW_CORE_WORKERS_WORKER_RECORD_H_

#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::workers {

struct WorkerRecord {
  // Of an unknown life.
  Listing listing;
  // By the store's clock: until then the leases of a silent worker may hold;
  // none is granted before a record without this is stored.
  std::optional<std::int64_t> leases_end_ms;
};

std::string EncodeWorkerRecord(const WorkerRecord& record);

std::optional<WorkerRecord> DecodeWorkerRecord(const base::BackendId& id,
                                               const std::string& text,
                                               base::Failure* reason);

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_WORKER_RECORD_H_
