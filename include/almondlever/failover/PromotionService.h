#pragma once

#include "almondlever/failover/GroupPromotion.h"
#include "almondlever/sessions/Routing.h"

#include <cstdint>
#include <functional>
#include <string>

namespace almondlever {

/** The platform's call that names the next primary of a group. */
class PromotionService {
public:
    virtual ~PromotionService() = default;

    /** The callback comes exactly once, never from inside the call. The text explains the answer. */
    virtual void promote(const GroupId&, const EndpointId&, const std::string& holder, std::uint64_t fence,
        std::function<void(PromotionAnswer, const std::string& detail)>)
        = 0;
};

} // namespace almondlever
