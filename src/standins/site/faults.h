// Faults that the soak test injects into the stand-in site's store and workers.
#ifndef DOTTERELBARROW_STANDINS_SITE_FAULTS_H_
#define DOTTERELBARROW_STANDINS_SITE_FAULTS_H_

#include <cstdint>
#include <string>

namespace dotterelbarrow::standins::site {

enum class StoreFault {
  kNone,
  kRefusing,  // Calls have no effect and get status 503.
  kSilent,    // Calls have no effect and get no answer.
  kLosing,    // A share of the writes takes effect and gets no answer.
  // A share of the writes takes effect seconds later and gets no answer.
  kLate,
  kSlow,  // Calls take much longer.
};

enum class WorkerFault {
  kNone,
  kSilent,  // Runs continue, but no call has an effect or gets an answer.
  // A share of the calls takes effect seconds later and gets no answer.
  kLate,
  kFailing,   // Runs started under this fault fail when they end.
  kRefusing,  // Start commands get status 503.
};

// Return the fault with this name, or kNone if the name is unknown.
StoreFault ParseStoreFault(const std::string& name);
WorkerFault ParseWorkerFault(const std::string& name);

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_FAULTS_H_
