// Names of the failure codes.
#include "dotterelbarrow/base/failure.h"

namespace dotterelbarrow::base {

const char* ToString(FailureCode code) {
  switch (code) {
    case FailureCode::kNone:
      return "none";
    case FailureCode::kMalformed:
      return "malformed";
    case FailureCode::kMissingField:
      return "missing_field";
    case FailureCode::kWrongType:
      return "wrong_type";
    case FailureCode::kOutOfRange:
      return "out_of_range";
    case FailureCode::kUnknownValue:
      return "unknown_value";
    case FailureCode::kUnknownField:
      return "unknown_field";
    case FailureCode::kTooLarge:
      return "too_large";
    case FailureCode::kUnavailable:
      return "unavailable";
    case FailureCode::kConflict:
      return "conflict";
    case FailureCode::kDuplicate:
      return "duplicate";
  }
  return "unknown";
}

}  // namespace dotterelbarrow::base
