#include "DatabaseLog.h"

#include <algorithm>
#include <cassert>

namespace almondlever::standin {

void DatabaseLog::append(LogEntry entry)
{
    assert(entry.position.index == entries_.size() + 1);
    assert(entry.position.term >= end().term);
    index(entry);
    entries_.push_back(std::move(entry));
}

void DatabaseLog::truncate(std::uint64_t lastIndex)
{
    if (lastIndex >= entries_.size())
        return;
    assert(lastIndex == 0 || entries_[lastIndex - 1].remaining == 0);
    entries_.resize(lastIndex);
    termEnds_.clear();
    data_.clear();
    requests_.clear();
    for (const LogEntry& entry : entries_)
        index(entry);
}

void DatabaseLog::index(const LogEntry& entry)
{
    if (termEnds_.empty() || termEnds_.back().term != entry.position.term)
        termEnds_.push_back(entry.position);
    else
        termEnds_.back() = entry.position;
    if (entry.isMarker)
        return;
    data_[entry.key] = entry.value;
    if (entry.remaining > 0 || entry.requestId.isEmpty())
        return;
    RequestResult& result = requests_[entry.requestId.text()];
    if (result.executions == 0)
        result.position = entry.position;
    ++result.executions;
}

std::uint64_t DatabaseLog::commonIndex(const std::vector<LogPosition>& otherTermEnds) const
{
    for (auto other = otherTermEnds.rbegin(); other != otherTermEnds.rend(); ++other) {
        const auto own = std::find_if(termEnds_.rbegin(), termEnds_.rend(),
            [&other](const LogPosition& position) { return position.term == other->term; });
        if (own != termEnds_.rend())
            return std::min(own->index, other->index);
    }
    return 0;
}

const std::string* DatabaseLog::find(const std::string& key) const
{
    const auto found = data_.find(key);
    return found == data_.end() ? nullptr : &found->second;
}

std::optional<LogPosition> DatabaseLog::resultOf(const RequestId& id) const
{
    const auto found = requests_.find(id.text());
    if (id.isEmpty() || found == requests_.end())
        return std::nullopt;
    return found->second.position;
}

std::map<std::string, std::size_t> DatabaseLog::repeatedRequests() const
{
    std::map<std::string, std::size_t> repeated;
    for (const auto& [id, result] : requests_) {
        if (result.executions > 1)
            repeated.emplace(id, result.executions);
    }
    return repeated;
}

} // namespace almondlever::standin
