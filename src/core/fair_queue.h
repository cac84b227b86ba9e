// A weighted fair queue of the requests that wait for a slot, by service and
// team.
//
// Of the teams that may start a request, the one with the fewest running
// requests relative to its share is served first. Within a team, and between
// teams with equal ratios, the earliest request is served first.
#ifndef DOTTERELBARROW_SRC_CORE_FAIR_QUEUE_H_
#define DOTTERELBARROW_SRC_CORE_FAIR_QUEUE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelbarrow/base/ids.h"

namespace dotterelbarrow::core {

// Identifies a request at the owner that serves it. Ids increase in the order
// of arrival.
using ServeId = base::NumberId<struct ServeIdTag>;

class FairQueue {
 public:
  // Returns the number of a team's running requests divided by its share, or
  // nothing if the team may not start a request now.
  using Rank = std::function<std::optional<double>(const base::TeamId&)>;
  // Returns a team's share, which must be above zero.
  using Share = std::function<double(const base::TeamId&)>;

  // Adds a request, ordered by its id. A request that is queued again for a
  // retry thus regains its place.
  void Push(const base::ServiceId& service, const base::TeamId& team,
            ServeId id);
  void Remove(const base::ServiceId& service, const base::TeamId& team,
              ServeId id);

  // Returns the request to start next without removing it, or nothing if no
  // request may start.
  std::optional<ServeId> Next(const base::ServiceId& service,
                              const Rank& rank) const;
  // Returns the request to refuse when the queue is too long: the latest one of
  // the team with the most waiting requests of one service relative to its
  // share. Returns nothing if the queue is empty.
  std::optional<ServeId> NextToRefuse(const Share& share) const;
  // Estimates how many requests will be started up to and including the last
  // one of `team`, if each team is served in proportion to its share.
  double PositionOfLast(const base::ServiceId& service,
                        const base::TeamId& team, const Share& share) const;

  std::size_t size() const { return size_; }
  std::size_t size(const base::ServiceId& service,
                   const base::TeamId& team) const;
  // Returns the services for which requests are waiting.
  std::vector<base::ServiceId> services() const;
  // Returns all requests that are waiting for `service`.
  std::vector<ServeId> waiting(const base::ServiceId& service) const;

 private:
  using Teams = std::map<base::TeamId, std::set<ServeId>>;

  // Invariant: no set of ids and no map of teams is empty, and `size_` is the
  // number of all ids.
  std::map<base::ServiceId, Teams> services_;
  std::size_t size_ = 0;
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_FAIR_QUEUE_H_
