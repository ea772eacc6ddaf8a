#include "KeyValueStore.h"

#include <algorithm>

namespace almondlever::standin {

const KeyValueStore::Entry* KeyValueStore::find(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

std::uint64_t KeyValueStore::revisionOf(const std::string& key) const
{
    const Entry* entry = find(key);
    return entry ? entry->revision : 0;
}

KeyValueChange KeyValueStore::compareAndSwap(const std::string& key, std::uint64_t expectedRevision, std::string value,
    std::optional<Milliseconds> lease, TimePoint now)
{
    if (revisionOf(key) != expectedRevision)
        return { false, revisionOf(key) };
    Entry& entry = entries_[key];
    entry.value = std::move(value);
    entry.revision = ++lastRevision_;
    entry.expiresAt.reset();
    if (lease)
        entry.expiresAt = now + *lease;
    return { true, entry.revision };
}

KeyValueChange KeyValueStore::remove(const std::string& key, std::uint64_t expectedRevision)
{
    if (revisionOf(key) != expectedRevision || expectedRevision == 0)
        return { false, revisionOf(key) };
    entries_.erase(key);
    return { true, ++lastRevision_ };
}

std::vector<std::string> KeyValueStore::list(const std::string& prefix) const
{
    std::vector<std::string> keys;
    for (auto entry = entries_.lower_bound(prefix); entry != entries_.end(); ++entry) {
        if (entry->first.compare(0, prefix.size(), prefix) != 0)
            break;
        keys.push_back(entry->first);
    }
    return keys;
}

std::vector<std::string> KeyValueStore::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto& [key, entry] : entries_) {
        if (entry.expiresAt && *entry.expiresAt <= now)
            expired.push_back(key);
    }
    for (const std::string& key : expired) {
        entries_.erase(key);
        ++lastRevision_;
    }
    return expired;
}

std::optional<TimePoint> KeyValueStore::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& [key, entry] : entries_) {
        if (entry.expiresAt && (!next || *entry.expiresAt < *next))
            next = entry.expiresAt;
    }
    return next;
}

bool CallRate::admit(TimePoint now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != second_)
        callsInSecond_ = 0;
    second_ = second;
    ++calls_;
    peak_ = std::max(peak_, ++callsInSecond_);
    const std::chrono::duration<double> elapsed = now - refilledAt_.value_or(now);
    refilledAt_ = now;
    tokens_ = std::min(callsPerSecond_, tokens_ + elapsed.count() * callsPerSecond_);
    if (tokens_ < 1) {
        ++refused_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace almondlever::standin
