#pragma once

#include "almondlever/control/Snapshot.h"
#include "almondlever/entry/EntryRouter.h"

#include <string>
#include <vector>

namespace almondlever {

/** JSON of the daemon's state for `almondleverctl status`. */
std::string statusPage(const Snapshot*, bool isReady, const std::vector<EndpointId>& served);

/** JSON of an explained route for `almondleverctl explain`. */
std::string explanationPage(const RouteExplanation&);

} // namespace almondlever
