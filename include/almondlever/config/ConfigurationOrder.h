#pragma once

#include "almondlever/config/Configuration.h"

namespace almondlever {

/** Sorts every list by name except the ranks, whose order is their priority. */
void sortByName(Configuration&);

} // namespace almondlever
