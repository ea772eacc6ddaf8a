#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace almondlever {

/**
 * Request ids of keyed writes that were sent to an endpoint and may have run, for as long as callers repeat them.
 *
 * A repeat that is refused in the queue has not run itself, but an earlier attempt of the same key may have; without
 * this memory the refusal would say not_run about a booking that was made.
 */
class SentRequests {
public:
    /** Callers repeat a request within the longest deadline; the memory is kept far beyond it. */
    static constexpr std::chrono::minutes memory { 10 };
    /** Beyond this the oldest are forgotten. */
    static constexpr std::size_t maximumCount = 100000;

    void add(const RequestId&, TimePoint now);
    /** The endpoint refused it without effect. */
    void remove(const RequestId&);
    bool contains(const RequestId&) const;

private:
    std::unordered_map<RequestId, std::size_t> attempts_;
    std::deque<std::pair<TimePoint, RequestId>> order_;
};

} // namespace almondlever
