#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace almondlever {

/**
 * Request ids of keyed writes that were sent to an endpoint and may have run, kept for as long as callers may repeat
 * them.
 *
 * A repeat that is refused while it is queued has not run, but an earlier attempt with the same key may have. Without
 * this record, the refusal would report not_run for a write that took effect.
 */
class SentRequests {
public:
    /** How long an id is kept; far longer than the longest deadline, within which callers repeat a request. */
    static constexpr std::chrono::minutes retentionTime { 10 };
    /** When this many ids are kept, the oldest is removed for each new one. */
    static constexpr std::size_t maximumCount = 100000;

    void add(const RequestId&, TimePoint now);
    /** To be called when the endpoint refused the request without effect. */
    void remove(const RequestId&);
    bool contains(const RequestId&) const;

private:
    std::unordered_map<RequestId, std::size_t> attempts_;
    std::deque<std::pair<TimePoint, RequestId>> order_;
};

} // namespace almondlever
