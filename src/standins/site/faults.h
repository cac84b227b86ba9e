// What goes wrong at the stand-in, as the soak orders it.
#ifndef DOTTERELBARROW_STANDINS_SITE_FAULTS_H_
#define DOTTERELBARROW_STANDINS_SITE_FAULTS_H_

#include <cstdint>
#include <string>

namespace dotterelbarrow::standins::site {

enum class StoreFault {
  kNone,
  kRefusing,  // Answers 503; nothing is done.
  kSilent,    // Nothing is done, nothing answered.
  kLosing,    // A part of the writes is done and not answered.
  kLate,      // A part of the writes is done seconds later and not answered.
  kSlow,      // Answers take long.
};

enum class WorkerFault {
  kNone,
  kSilent,    // It runs on, and answers nothing.
  kLate,      // A part of the orders is carried out seconds later, unanswered.
  kFailing,   // Runs fail soon after their start.
  kRefusing,  // Answers 503 to new starts.
};

// Return the fault of this name, or kNone for one that isn't known.
StoreFault StoreFaultOf(const std::string& name);
WorkerFault WorkerFaultOf(const std::string& name);

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_FAULTS_H_
