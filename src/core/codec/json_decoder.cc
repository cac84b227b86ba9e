// Failure reporting of the JSON decoder.
#include "src/core/codec/json_decoder.h"

#include <utility>

namespace dotterelbarrow::core {

bool JsonDecoder::AllMembersRead() {
  if (members_ == Members::kAny || members_read_ == object_->size()) {
    return true;
  }
  return Fail(base::FailureCode::kUnknownField,
              "has unknown members; the number of known members is " +
                  std::to_string(members_read_) + " of " +
                  std::to_string(object_->size()));
}

bool JsonDecoder::WrongType(const char* expected) {
  return Fail(base::FailureCode::kWrongType,
              std::string("must be ") + expected);
}

bool JsonDecoder::Fail(base::FailureCode code, const std::string& detail) {
  std::string text(" ");
  text += detail;
  *reason_ = {code, std::move(text)};
  return false;
}

bool JsonDecoder::PrependToPath(const std::string& name) {
  const bool ends_path =
      reason_->detail.starts_with(' ') || reason_->detail.starts_with('[');
  reason_->detail = name + (ends_path ? "" : ".") + reason_->detail;
  return false;
}

}  // namespace dotterelbarrow::core
