#pragma once

#include "almondlever/failover/GroupPromotion.h"
#include "almondlever/sessions/Routing.h"

#include <cstdint>
#include <functional>
#include <string>

namespace almondlever {

/** The platform's call that promotes an endpoint to primary of its group. */
class PromotionService {
public:
    virtual ~PromotionService() = default;

    /** The callback is invoked exactly once, never during the call itself. `detail` explains the answer. */
    virtual void promote(const GroupId&, const EndpointId&, const std::string& holder, std::uint64_t fence,
        std::function<void(PromotionResult, const std::string& detail)>)
        = 0;
};

} // namespace almondlever
