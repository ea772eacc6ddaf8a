#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/groups/EndpointEntry.h"

#include <cstdint>
#include <functional>

namespace almondlever {

/**
 * Tells the other daemons of a change of a group's primary: they hold the group's writes, and those that reach the
 * primary order it to step down.
 */
class StepDownRelay {
public:
    virtual ~StepDownRelay() = default;

    /** True if there is another daemon to ask. */
    virtual bool hasPeers(const GroupId&) const = 0;

    using Callback = std::function<void(const StepDownReport&, TimePoint now)>;
    /**
     * Asks all other daemons. The callback receives the first answer of the primary, or else a report once the owners
     * have answered and the others had a moment to do so; it is not called when an answer of an owner is missing or
     * when a later request replaces this one.
     *
     * @param fence  fencing token of the change, under which the writes are held; 0: no writes are held.
     */
    virtual void request(const GroupId&, const EndpointId& primary, Term, std::uint64_t fence, Callback, TimePoint now)
        = 0;

    /** True if every other listed daemon has answered that it holds the group's writes under the fence. */
    virtual bool areAllHolding(const GroupId&, std::uint64_t fence) const = 0;

    /** Newest commit that a daemon has passed on to a caller, of those that have answered that they hold the writes. */
    virtual LogPosition acknowledgedPosition(const GroupId&, std::uint64_t fence) const = 0;

    /**
     * Tells all daemons that the calls of the change with the fence are resolved, and that their hold ends.
     *
     * @param term  term in which the leader was seen to lead; 0 if the change has not made an endpoint the primary.
     */
    virtual void close(const GroupId&, std::uint64_t fence, const EndpointId& leader, Term term, TimePoint now) = 0;
};

} // namespace almondlever
