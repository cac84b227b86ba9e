// Builds and sends the messages that claim a backend server, renew its lease
// and send the commands for its tasks.
#ifndef DOTTERELBARROW_CORE_BACKEND_SYNC_H_
#define DOTTERELBARROW_CORE_BACKEND_SYNC_H_

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/owner_context.h"

namespace dotterelbarrow::core {

// A command is sent again after this time without a report that shows its
// effect.
inline constexpr base::Duration kCommandRetry = std::chrono::milliseconds(250);

// Sends a sync to `backend`, and a reply to the managers of the tasks that it
// starts. Returns whether any command is still unconfirmed, in which case the
// caller must send another sync after kCommandRetry.
bool SendSync(OwnerContext* context, Backend* backend, base::TimePoint now);

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_BACKEND_SYNC_H_
