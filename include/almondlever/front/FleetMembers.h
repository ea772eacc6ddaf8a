#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/membership/MembershipView.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace almondlever {

/**
 * The live daemons as their keys in the platform's store show them. A key that vanished counts for a grace period,
 * because keys lapse with an outage of the store and are written again after it.
 */
class FleetMembers {
public:
    /** A living daemon has written its key again by then: a renewal, a retry and a round trip. */
    static constexpr Milliseconds lapseGrace { 4000 };

    explicit FleetMembers(LiveDaemon self);

    /** Value of a daemon's key. */
    static std::string encode(const LiveDaemon&);
    /** A daemon's key was read; values that cannot be understood are ignored and told by false. */
    bool add(const std::string& name, const std::string& value);
    void lapse(const std::string& name, TimePoint now);
    /** Lapses all members that a snapshot does not contain. */
    void keepOnly(const std::set<std::string>& names, TimePoint now);
    /** Drops members whose grace period is over; true when there were any. */
    bool removeLapsed(TimePoint now);
    /** The live daemons, this one included. */
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
