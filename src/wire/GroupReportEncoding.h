#pragma once

#include "CborWriter.h"
#include "almondlever/wire/GroupReport.h"

namespace almondlever {

/** Writes the reports as the optional member "rs"; nothing when there are none. */
void writeGroupReports(nlohmann::json& map, const std::vector<GroupReport>&);

/** Reads the optional member "rs". */
std::vector<GroupReport> readGroupReports(CborReader&);

} // namespace almondlever
