#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/groups/EndpointEntry.h"

#include <optional>

namespace almondlever {

/** Result of the platform's promote call. */
enum class PromotionResult {
    Accepted,
    /** The fencing token of the call is outdated, or the endpoint is not running. */
    Refused,
    /** No answer; the call may still take effect. */
    Unknown,
};

/**
 * The promote calls of one change of primary, all of which have the same fencing token.
 *
 * The platform checks the token when it carries a call out, refuses a token that is lower than the newest accepted one,
 * and accepts an equal one. A call without an answer may therefore be carried out until a call with a newer token has
 * been accepted, and an accepted one takes effect some time later. Until the outcome of each call is known, no other
 * endpoint may be called under this token, and nothing may help the former primary to acknowledge commits.
 */
class PromotionCalls {
public:
    void noteSent(const EndpointId& endpoint)
    {
        endpoint_ = endpoint;
        isPending_ = true;
    }
    /** The call announced with noteSent() was not made after all. */
    void noteNotSent() { isPending_ = false; }
    void noteAnswer(PromotionResult result)
    {
        isPending_ = false;
        isUnanswered_ = isUnanswered_ || result == PromotionResult::Unknown;
        isAccepted_ = isAccepted_ || result == PromotionResult::Accepted;
    }
    /** The called endpoint leads: the accepted call has taken effect, and repeating it changes nothing. */
    void noteLeading() { isLeading_ = isAccepted_; }

    void noteSeenLeading(TimePoint now) { leadingSince_ = leadingSince_.value_or(now); }
    void noteNotLeading() { leadingSince_.reset(); }

    /**
     * True if every call that was accepted before the endpoint led has taken effect. Each copy of a call that got no
     * answer has its own effect; one that is carried out later finds that the endpoint leads.
     */
    bool areEffective(Duration effectTime, TimePoint now) const
    {
        return leadingSince_ && (!isUnanswered_ || now - *leadingSince_ >= effectTime);
    }
    bool isPending() const { return isPending_; }
    /** True if a call got no answer and none has been accepted since. */
    bool isUnanswered() const { return isUnanswered_ && !isAccepted_; }
    /** True while a call may still make its endpoint the primary. */
    bool mayTakeEffect() const { return (isPending_ || isUnanswered_ || isAccepted_) && !isLeading_; }
    /** True if a call for this endpoint cannot leave two different endpoints called under the same token. */
    bool mayCall(const EndpointId& endpoint) const { return !mayTakeEffect() || endpoint == endpoint_; }

private:
    EndpointId endpoint_;
    bool isPending_ = false;
    bool isUnanswered_ = false;
    bool isAccepted_ = false;
    bool isLeading_ = false;
    /** Time at which the endpoint was first seen to lead. */
    std::optional<TimePoint> leadingSince_;
};

} // namespace almondlever
