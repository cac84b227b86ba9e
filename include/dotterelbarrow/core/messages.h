// All messages that enter or leave the core.
//
// The core is a state machine without I/O: a driver (the daemon, the fuzzer or
// the benchmark) passes it `Input`s, each with a time, and executes its
// `Output`s. Peers are the other entry hosts; backend servers are workers and
// runners; the platform is the table service, the object store and the host
// list.
#ifndef DOTTERELBARROW_CORE_MESSAGES_H_
#define DOTTERELBARROW_CORE_MESSAGES_H_

#include <string>
#include <variant>

#include "dotterelbarrow/base/ids.h"
#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/core/backend_messages.h"
#include "dotterelbarrow/core/caller_messages.h"
#include "dotterelbarrow/core/peer_messages.h"
#include "dotterelbarrow/core/platform_messages.h"

namespace dotterelbarrow::core {

struct FromPeer {
  base::EntryId from;
  base::Incarnation incarnation;
  PeerMessage message;
};

// The driver reports that a sync was not answered in time or could not be sent.
struct BackendUnreachable {
  base::BackendId backend;
};

// Requests a graceful shutdown.
struct BeginShutdown {};

using Input =
    std::variant<FromPeer, BackendReport, BackendUnreachable, RunResult,
                 TableResult, TableRows, ObjectResult, HostList, CallerRequest,
                 CallerJobCommand, OperatorTicket, BeginShutdown>;

struct ToPeer {
  base::EntryId to;
  PeerMessage message;
};

// A message to a backend server, with its address from the host list.
struct ToBackend {
  std::string address;
  std::variant<BackendSync, RunCommand> command;
};

// All of this entry's work has been handed over; the process may exit.
struct ShutdownComplete {};

using Output = std::variant<ToPeer, ToBackend, TableTransaction, TableRead,
                            ObjectWrite, ObjectRead, HostListRead, CallerAnswer,
                            TicketAnswer, ShutdownComplete>;

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_CORE_MESSAGES_H_
