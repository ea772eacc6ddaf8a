#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/membership/MembershipView.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace almondlever {

/**
 * The live daemons according to their keys in the platform's store. A daemon whose key has disappeared still counts for
 * a grace period, because keys expire during an outage of the store and are written again after it.
 */
class FleetMembers {
public:
    /** A live daemon rewrites its key within this time: a renewal interval, a retry and a round trip. */
    static constexpr Milliseconds lapseGrace { 4000 };

    explicit FleetMembers(LiveDaemon self);

    /** Returns the value to store under a daemon's key. */
    static std::string encode(const LiveDaemon&);
    /** Adds or updates a daemon from its key; ignores a malformed value and returns false. */
    bool add(const std::string& name, const std::string& value);
    /** Starts the grace period of a daemon whose key has disappeared. */
    void lapse(const std::string& name, TimePoint now);
    /** Calls lapse() for all members that a snapshot does not contain. */
    void lapseAllExcept(const std::set<std::string>& names, TimePoint now);
    /** Removes members whose grace period is over; returns whether there were any. */
    bool removeLapsed(TimePoint now);
    /** Returns the live daemons, including this one. */
    MembershipView view() const;

private:
    struct Member {
        LiveDaemon daemon;
        std::optional<TimePoint> lapsedAt;
    };

    LiveDaemon self_;
    std::map<VmId, Member> members_;
    std::uint64_t revision_ = 0;
};

} // namespace almondlever
