#pragma once

#include "almondlever/config/Configuration.h"

namespace almondlever {

/** Sorts every list by name, apart from the ranks, whose order has a meaning. */
void sortByName(Configuration&);

} // namespace almondlever
