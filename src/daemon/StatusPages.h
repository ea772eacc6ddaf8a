#pragma once

#include "almondlever/control/Snapshot.h"
#include "almondlever/entry/EntryRouter.h"

#include <string>
#include <vector>

namespace almondlever {

/** The daemon's state as JSON, for `almondleverctl status`. */
std::string statusPage(const Snapshot*, bool isReady, const std::vector<EndpointId>& served);

/** A route explanation as JSON, for `almondleverctl explain`. */
std::string explanationPage(const RouteExplanation&);

} // namespace almondlever
