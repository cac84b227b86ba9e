// Chooses the organisation of each job, and sums up what it earned.
#include "bench/experiment/organisations.h"

#include <algorithm>
#include <cmath>

#include "dotterelbarrow/base/hash.h"

namespace dotterelbarrow::bench {
namespace {

// Makes the draws of organisations independent of others.
constexpr std::uint64_t kOrganisationSalt = 3'000'017;
constexpr double kUnitIntervalScale = 1.0 / 9007199254740992.0;  // 2^-53
// The share of the only organisation of a pattern without shares.
constexpr double kUnlimitedWeight = 1e6;

}  // namespace

Organisations::Organisations(const Pattern& pattern)
    : settings_(pattern.organisations),
      parts_(static_cast<std::size_t>(settings_.count)),
      value_(parts_.size()),
      earned_(parts_.size()) {
  double sum = 0;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    parts_[i] = std::pow(static_cast<double>(i) + 1, -settings_.skew);
    sum += parts_[i];
  }
  for (double& part : parts_) {
    part /= sum;
  }
  for (const Kind& kind : pattern.kinds) {
    jobs_per_s_ += kind.jobs_per_s;
  }
}

double Organisations::PartAt(std::size_t organisation, double at_s) const {
  double part = parts_[organisation];
  for (const OrganisationBurst& burst : settings_.bursts) {
    const bool is_on =
        static_cast<std::size_t>(burst.organisation) == organisation &&
        at_s >= burst.burst.at_s && at_s < burst.burst.at_s + burst.burst.for_s;
    part *= is_on ? burst.burst.times : 1;
  }
  return part;
}

double Organisations::LoadAt(double at_s) const {
  if (settings_.bursts.empty()) {
    return 1;
  }
  double sum = 0;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    sum += PartAt(i, at_s);
  }
  return sum;
}

std::size_t Organisations::OrganisationOf(std::uint64_t job, std::uint64_t seed,
                                          double at_s) const {
  double drawn =
      static_cast<double>(
          base::MixBits(base::MixBits(job + 1) ^ (seed * kOrganisationSalt)) >>
          11) *
      kUnitIntervalScale * LoadAt(at_s);
  for (std::size_t i = 0; i + 1 < parts_.size(); ++i) {
    drawn -= PartAt(i, at_s);
    if (drawn < 0) {
      return i;
    }
  }
  return parts_.size() - 1;
}

base::OrganisationId Organisations::IdOf(std::size_t organisation) const {
  return base::OrganisationId("organisation-" + std::to_string(organisation));
}

std::vector<core::desired::Organisation> Organisations::Configured() const {
  std::vector<core::desired::Organisation> organisations;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    core::desired::Organisation organisation;
    organisation.id = IdOf(i);
    organisation.weight =
        settings_.weight_factor > 0
            ? jobs_per_s_ * parts_[i] * settings_.weight_factor
            : kUnlimitedWeight;
    organisations.push_back(std::move(organisation));
  }
  return organisations;
}

std::vector<double> Organisations::EarnedFractions(bool only_steady) const {
  std::vector<double> fractions;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    const bool is_steady =
        std::none_of(settings_.bursts.begin(), settings_.bursts.end(),
                     [i](const OrganisationBurst& burst) {
                       return static_cast<std::size_t>(burst.organisation) == i;
                     });
    if (value_[i] > 0 && (is_steady || !only_steady)) {
      fractions.push_back(earned_[i] / value_[i]);
    }
  }
  std::sort(fractions.begin(), fractions.end());
  return fractions;
}

}  // namespace dotterelbarrow::bench
