#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/platform/VmList.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::standin {

/** The platform's VMs and the lagging list that shows them. No networking. */
class VmRegistry {
public:
    /** Time until a change shows in the list; applies also to changes that do not show yet. */
    void setLag(Milliseconds lag) { lag_ = lag; }

    /** Adds or replaces a VM at once, for the state at the start. */
    void addInitially(const VmListEntry&);
    /** False when the VM exists or its id was used before, since ids are never reused. */
    bool add(const VmListEntry&, TimePoint now);
    /** Marks a VM as leaving or live again; false when it does not exist. */
    bool setState(const VmId&, VmState, TimePoint now);
    /** False when the VM does not exist. */
    bool remove(const VmId&, TimePoint now);

    /** What the list shows now. */
    std::vector<VmListEntry> list(TimePoint now);

private:
    struct Change {
        TimePoint at;
        VmId id;
        /** New entry; nullopt removes the VM. */
        std::optional<VmListEntry> entry;
    };

    void change(const VmId&, std::optional<VmListEntry>, TimePoint now);

    Milliseconds lag_ { 0 };
    /** All ids ever used; nullopt for removed VMs. */
    std::map<std::string, std::optional<VmListEntry>> actual_;
    std::map<std::string, VmListEntry> shown_;
    std::deque<Change> pending_;
};

} // namespace almondlever::standin
