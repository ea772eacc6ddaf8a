#include "almondlever/front/FleetMembers.h"

#include "almondlever/common/EscapedWord.h"
#include "almondlever/transport/HttpMessage.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace almondlever {

namespace {

    /** Last field of the entry of a daemon that is shutting down. */
    const char* const leavingWord = "leaving";

} // namespace

FleetMembers::FleetMembers(LiveDaemon self)
    : self_(std::move(self))
{
}

std::string FleetMembers::encode(const LiveDaemon& daemon)
{
    const std::string value
        = toWord(daemon.failureDomain.text()) + ' ' + daemon.peerAddress + ' ' + std::to_string(daemon.capacity);
    return daemon.isLeaving ? value + ' ' + leavingWord : value;
}

bool FleetMembers::add(const std::string& name, const std::string& value)
{
    std::istringstream words(value);
    std::string failureDomain;
    std::string address;
    if (name.empty() || !(words >> failureDomain >> address) || !parseHttpAddress(address))
        return false;
    // Daemons of earlier versions write no capacity.
    std::uint32_t capacity = 0;
    std::string capacityText;
    std::string state;
    if (words >> capacityText) {
        const char* end = capacityText.data() + capacityText.size();
        const auto parsed = std::from_chars(capacityText.data(), end, capacity);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return false;
    }
    words >> state;
    Member& member = members_[VmId(name)];
    member.daemon = { VmId(name), FailureDomainId(fromWord(failureDomain)), address, state == leavingWord, capacity };
    member.lapsedAt.reset();
    ++revision_;
    return true;
}

void FleetMembers::lapse(const std::string& name, TimePoint now)
{
    const auto found = members_.find(VmId(name));
    if (found != members_.end() && !found->second.lapsedAt)
        found->second.lapsedAt = now;
}

void FleetMembers::lapseAllExcept(const std::set<std::string>& names, TimePoint now)
{
    for (const auto& [id, member] : members_) {
        if (names.count(id.text()) == 0)
            lapse(id.text(), now);
    }
}

bool FleetMembers::removeLapsed(TimePoint now)
{
    bool isChanged = false;
    for (auto it = members_.begin(); it != members_.end();) {
        const bool isOver = it->second.lapsedAt && now - *it->second.lapsedAt >= lapseGrace;
        isChanged = isChanged || isOver;
        it = isOver ? members_.erase(it) : std::next(it);
    }
    if (isChanged)
        ++revision_;
    return isChanged;
}

MembershipView FleetMembers::view() const
{
    MembershipView view;
    view.revision = revision_;
    bool hasSelf = false;
    for (const auto& [id, member] : members_) {
        if (!hasSelf && self_.id < id) {
            view.daemons.push_back(self_);
            hasSelf = true;
        }
        if (id != self_.id)
            view.daemons.push_back(member.daemon);
    }
    if (!hasSelf)
        view.daemons.push_back(self_);
    return view;
}

} // namespace almondlever
