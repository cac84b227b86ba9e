// How gangs end: all members together, once they have worked together long
// enough; or each by itself, if the others don't come.
#ifndef DOTTERELBARROW_STANDINS_SITE_GANG_MODEL_H_
#define DOTTERELBARROW_STANDINS_SITE_GANG_MODEL_H_

#include <vector>

#include "src/standins/site/worker_model.h"

namespace dotterelbarrow::standins::site {

// Ends the members whose gang is done, or that have waited too long in vain.
void EndDueGangs(const std::vector<WorkerModel*>& workers);

}  // namespace dotterelbarrow::standins::site

#endif  // DOTTERELBARROW_STANDINS_SITE_GANG_MODEL_H_
