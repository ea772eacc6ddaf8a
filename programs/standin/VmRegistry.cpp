#include "VmRegistry.h"

namespace almondlever::standin {

void VmRegistry::addInitially(const VmListEntry& entry)
{
    actual_[entry.id.text()] = entry;
    shown_[entry.id.text()] = entry;
}

bool VmRegistry::add(const VmListEntry& entry, TimePoint now)
{
    if (actual_.count(entry.id.text()) > 0)
        return false;
    change(entry.id, entry, now);
    return true;
}

bool VmRegistry::setState(const VmId& id, VmState state, TimePoint now)
{
    const auto found = actual_.find(id.text());
    if (found == actual_.end() || !found->second)
        return false;
    VmListEntry entry = *found->second;
    entry.state = state;
    change(id, entry, now);
    return true;
}

bool VmRegistry::remove(const VmId& id, TimePoint now)
{
    const auto found = actual_.find(id.text());
    if (found == actual_.end() || !found->second)
        return false;
    change(id, std::nullopt, now);
    return true;
}

std::vector<VmListEntry> VmRegistry::list(TimePoint now)
{
    while (!pending_.empty() && pending_.front().at + lag_ <= now) {
        const Change& due = pending_.front();
        if (due.entry)
            shown_[due.id.text()] = *due.entry;
        else
            shown_.erase(due.id.text());
        pending_.pop_front();
    }
    std::vector<VmListEntry> entries;
    for (const auto& [id, entry] : shown_)
        entries.push_back(entry);
    return entries;
}

void VmRegistry::change(const VmId& id, std::optional<VmListEntry> entry, TimePoint now)
{
    actual_[id.text()] = entry;
    pending_.push_back({ now, id, std::move(entry) });
}

} // namespace almondlever::standin
