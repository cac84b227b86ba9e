// Ends the runs of gangs. All members of a gang end together, once all of them
// have been present for the gang's duration. A member whose gang isn't complete
// in time ends alone.
#ifndef DOTTERELBARROW_STANDINS_SITE_GANG_MODEL_H_
#define DOTTERELBARROW_STANDINS_SITE_GANG_MODEL_H_

#include <vector>

#include "src/standins/site/worker_model.h"

namespace dotterelbarrow::standins::site {

// Ends the members whose gang has finished, and those whose gang was not
// complete within the gang start timeout.
void EndDueGangs(const std::vector<WorkerModel*>& workers);

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_GANG_MODEL_H_
