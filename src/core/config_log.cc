// A bounded queue of configuration changes.
#include "src/core/config_log.h"

namespace dotterelbarrow::core {

void ConfigLog::Add(const ConfigChange& change) {
  changes_.push_back(change);
  bytes_ += change.ticket.size();
  while (changes_.size() > 1 &&
         (changes_.size() > kMaxChanges || bytes_ > kMaxBytes)) {
    bytes_ -= changes_.front().ticket.size();
    changes_.pop_front();
  }
}

std::vector<ConfigChange> ConfigLog::After(base::ConfigVersion version) const {
  std::vector<ConfigChange> answer;
  if (changes_.empty() || version.next() < changes_.front().version ||
      version >= changes_.back().version) {
    return answer;
  }
  std::size_t bytes = 0;
  for (std::size_t i = version.value() + 1 - changes_.front().version.value();
       i < changes_.size(); ++i) {
    bytes += changes_[i].ticket.size();
    if (!answer.empty() && bytes > kMaxAnswerBytes) {
      break;
    }
    answer.push_back(changes_[i]);
  }
  return answer;
}

}  // namespace dotterelbarrow::core
