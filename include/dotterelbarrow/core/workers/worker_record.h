// The record that the store holds of a worker as long as any run may exist on
// it, so that the next owner can claim the worker even if the platform doesn't
// list it any more. Its JSON fields are "address", "cpu" in millicores,
// "memory" in mebibytes and "accelerators" of the largest capacity that is
// known of the incarnation, "born_ms", "rack", "carried_until_ms" for an
// incarnation that isn't the first and, for an unresponsive worker,
// "leases_end_ms".
#ifndef DOTTERELBARROW_CORE_WORKERS_WORKER_RECORD_H_
#define DOTTERELBARROW_CORE_WORKERS_WORKER_RECORD_H_

#include <optional>
#include <string>

#include "dotterelbarrow/base/failure.h"
#include "dotterelbarrow/core/workers/worker.h"

namespace dotterelbarrow::core::workers {

inline constexpr std::int64_t kUnknownCarriedUntil = -1;

struct WorkerRecord {
  // In a decoded record its incarnation is unknown: another one may answer by
  // now.
  Listing listing;
  // The time, by the store's clock, until which leases of an unresponsive
  // worker may be valid. No lease is granted until a record without this field
  // is stored.
  std::optional<std::int64_t> leases_end_ms{};
  // The time, by the store's clock, until which leases may be valid that the
  // incarnation took from commands to earlier ones; kUnknownCarriedUntil until
  // it is claimed. Not set if there was no earlier one.
  std::optional<std::int64_t> carried_until_ms{};
  // The incarnation that the record was written for, in milliseconds since
  // 1970; unknown in the records of earlier versions of this program.
  std::int64_t recorded_born_ms = kUnknownIncarnation;
  // Whether a decoded record names the rack; those of earlier versions don't.
  bool names_rack = false;
};

std::string EncodeWorkerRecord(const WorkerRecord& record);

// Returns nullopt and sets `reason` if `text` is malformed.
std::optional<WorkerRecord> DecodeWorkerRecord(const base::BackendId& id,
                                               const std::string& text,
                                               base::Failure* reason);

}  // namespace dotterelbarrow::core::workers

#endif  // DOTTERELBARROW_CORE_WORKERS_WORKER_RECORD_H_
