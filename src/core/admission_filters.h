// The filters of the admission chain, in the order in which they run. Each
// filter checks one aspect of a request and receives only the state that it
// reads.
#ifndef DOTTERELBARROW_SRC_CORE_ADMISSION_FILTERS_H_
#define DOTTERELBARROW_SRC_CORE_ADMISSION_FILTERS_H_

#include <functional>
#include <optional>
#include <utility>

#include "dotterelbarrow/base/units.h"
#include "dotterelbarrow/config/catalogue.h"
#include "dotterelbarrow/core/admission.h"
#include "dotterelbarrow/core/work.h"

namespace dotterelbarrow::core {

// The filters' access to the configuration in force.
struct ConfigView {
  std::function<const config::Catalogue&()> catalogue;
  // Whether the configuration has been confirmed recently enough for its API
  // keys to be trusted.
  std::function<bool(base::TimePoint)> is_confirmed;
  // Whether a newer version is known to exist that isn't in force on this entry
  // host yet.
  std::function<bool()> is_behind;
  // The retry delay given to callers that are refused because the configuration
  // isn't confirmed.
  base::Duration retry_after{0};
};

// Refuses all requests while the entry host is shutting down.
class ShutdownFilter : public RequestFilter {
 public:
  explicit ShutdownFilter(const bool* shutting_down)
      : shutting_down_(shutting_down) {}
  std::optional<Answer> Apply(WorkRequest* request,
                              base::TimePoint now) override;

 private:
  const bool* shutting_down_;
};

// Checks ids, sizes and durations. Fills in the defaults for interactive
// requests: one slot and the default deadline.
class ValidationFilter : public RequestFilter {
 public:
  std::optional<Answer> Apply(WorkRequest* request,
                              base::TimePoint now) override;
};

// Refuses requests for services that the configuration doesn't contain.
class ServiceFilter : public RequestFilter {
 public:
  explicit ServiceFilter(ConfigView config) : config_(std::move(config)) {}
  std::optional<Answer> Apply(WorkRequest* request,
                              base::TimePoint now) override;

 private:
  ConfigView config_;
};

// Sets the team that the request is charged to: for a service that is open to
// all, the service's open team; otherwise the team of the request's API key.
// Overwrites any team that the request named. Must run after ServiceFilter.
class IdentityFilter : public RequestFilter {
 public:
  explicit IdentityFilter(ConfigView config) : config_(std::move(config)) {}
  std::optional<Answer> Apply(WorkRequest* request,
                              base::TimePoint now) override;

 private:
  ConfigView config_;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_ADMISSION_FILTERS_H_
