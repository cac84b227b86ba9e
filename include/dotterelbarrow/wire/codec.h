// Imports the names of core/codec.h into the namespace wire.
#ifndef DOTTERELBARROW_WIRE_CODEC_H_
#define DOTTERELBARROW_WIRE_CODEC_H_

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::wire {

using core::CallerWork;
using core::Decode;
using core::Defaults;
using core::Encode;
using core::FromJson;
using core::HostRecords;
using core::Members;
using core::MethodName;
using core::ReadJson;
using core::ToJson;
using core::TransactAnswer;
using core::WriteJson;

}  // namespace dotterelbarrow::wire

#endif  // DOTTERELBARROW_WIRE_CODEC_H_
