// Error codes and error descriptions. A function that can fail returns
// std::optional and, on failure, stores the reason in the `Failure` that the
// caller passes:
//
//   Failure reason;
//   const std::optional<Answer> answer = DecodeAnswer(text, &reason);
//   if (!answer) Log(reason);
//
// A function that validates user input appends every error that it finds to a
// std::vector<Failure> instead.
#ifndef DOTTERELBARROW_BASE_FAILURE_H_
#define DOTTERELBARROW_BASE_FAILURE_H_

#include <string>

namespace dotterelbarrow::base {

// Why an input was rejected or an operation failed.
enum class FailureCode {
  kNone,
  kMalformed,     // The input can't be parsed.
  kMissingField,  // A required field is absent.
  kWrongType,     // A field has an unexpected type.
  kOutOfRange,    // A value is outside its allowed range.
  kUnknownValue,  // A name that is not an allowed value.
  kUnknownField,  // A field that is not part of the format.
  kTooLarge,      // The input exceeds its size limit.
  kUnavailable,   // A remote service did not answer, or can't serve.
  kConflict,      // A precondition of a conditional write failed.
  kDuplicate,     // The same name occurs twice.
};

// The reason for an error. `detail` says what was found, what was expected and
// where.
struct Failure {
  FailureCode code = FailureCode::kNone;
  std::string detail;
};

// Returns the stable snake_case name of `code` that logs and responses show.
const char* ToString(FailureCode code);

}  // namespace dotterelbarrow::base

#endif  // DOTTERELBARROW_BASE_FAILURE_H_
