// Instantiates the encoder and decoder of each message type from its field
// description.
#include "dotterelbarrow/core/codec.h"

#include "src/core/codec/fields_peer.h"
#include "src/core/codec/fields_platform.h"
#include "src/core/codec/fields_work.h"
#include "src/core/codec/json_decoder.h"
#include "src/core/codec/json_encoder.h"

namespace dotterelbarrow::core {

template <typename Message>
Json::Value ToJson(const Message& message, Defaults defaults) {
  return JsonEncoder(defaults).ToValue(message);
}

template <typename Message>
std::optional<Message> FromJson(const Json::Value& value, Members members,
                                base::Failure* reason) {
  Message message;
  if (!JsonDecoder(members, reason).Read(value, &message)) {
    return std::nullopt;
  }
  return message;
}

template <typename Message>
const char* MethodName() {
  return Schema<Message>::kMethod;
}

// Instantiates the functions for one message type.
#define DOTTERELBARROW_MESSAGE(Message)                                 \
  template Json::Value ToJson<Message>(const Message&, Defaults);       \
  template std::optional<Message> FromJson<Message>(const Json::Value&, \
                                                    Members, base::Failure*)
#define DOTTERELBARROW_PEER_MESSAGE(Message) \
  DOTTERELBARROW_MESSAGE(Message);           \
  template const char* MethodName<Message>()

DOTTERELBARROW_MESSAGE(CallerWork);
DOTTERELBARROW_MESSAGE(HostRecords);
DOTTERELBARROW_MESSAGE(TransactAnswer);
DOTTERELBARROW_MESSAGE(base::Resources);
DOTTERELBARROW_MESSAGE(core::WorkRequest);
DOTTERELBARROW_MESSAGE(core::Answer);
DOTTERELBARROW_MESSAGE(core::TaskSpec);
DOTTERELBARROW_MESSAGE(core::TaskReport);
DOTTERELBARROW_MESSAGE(core::HostRecord);
DOTTERELBARROW_MESSAGE(core::BackendSync);
DOTTERELBARROW_MESSAGE(core::BackendReport);
DOTTERELBARROW_MESSAGE(core::RunCommand);
DOTTERELBARROW_MESSAGE(core::RunResult);
DOTTERELBARROW_MESSAGE(core::CapacitySummary);
DOTTERELBARROW_MESSAGE(core::MemberRecord);
DOTTERELBARROW_MESSAGE(core::TableTransaction);
DOTTERELBARROW_MESSAGE(core::TableRows);
DOTTERELBARROW_MESSAGE(core::TicketAnswer);
DOTTERELBARROW_PEER_MESSAGE(core::Heartbeat);
DOTTERELBARROW_PEER_MESSAGE(core::HeartbeatAck);
DOTTERELBARROW_PEER_MESSAGE(core::ForwardRequest);
DOTTERELBARROW_PEER_MESSAGE(core::ForwardReply);
DOTTERELBARROW_PEER_MESSAGE(core::SubmitJob);
DOTTERELBARROW_PEER_MESSAGE(core::QueryJob);
DOTTERELBARROW_PEER_MESSAGE(core::CancelJob);
DOTTERELBARROW_PEER_MESSAGE(core::JobReply);
DOTTERELBARROW_PEER_MESSAGE(core::ClaimKey);
DOTTERELBARROW_PEER_MESSAGE(core::ClaimReply);
DOTTERELBARROW_PEER_MESSAGE(core::ResolveKey);
DOTTERELBARROW_PEER_MESSAGE(core::PlaceTask);
DOTTERELBARROW_PEER_MESSAGE(core::PlaceReply);
DOTTERELBARROW_PEER_MESSAGE(core::CommitHold);
DOTTERELBARROW_PEER_MESSAGE(core::RemoveTask);
DOTTERELBARROW_PEER_MESSAGE(core::TaskUpdate);
DOTTERELBARROW_PEER_MESSAGE(core::TaskUpdateAck);
DOTTERELBARROW_PEER_MESSAGE(core::InventoryRequest);
DOTTERELBARROW_PEER_MESSAGE(core::InventoryReply);
DOTTERELBARROW_PEER_MESSAGE(core::SliceRequest);
DOTTERELBARROW_PEER_MESSAGE(core::SliceGrant);
DOTTERELBARROW_PEER_MESSAGE(core::ConfigPull);
DOTTERELBARROW_PEER_MESSAGE(core::ConfigPush);

#undef DOTTERELBARROW_PEER_MESSAGE
#undef DOTTERELBARROW_MESSAGE

}  // namespace dotterelbarrow::core
