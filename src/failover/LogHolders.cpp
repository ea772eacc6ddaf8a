#include "almondlever/failover/LogHolders.h"

#include "almondlever/common/EscapedWord.h"

#include <algorithm>
#include <sstream>

namespace almondlever {

namespace {

    /** First word of a record. */
    const char* const recordVersion = "1";
    const char* const stayingWord = "stays";
    const char* const leavingWord = "leaves";
    const char* const returnedWord = "alone";
    const char* const joinedWord = "joined";
    const char* const primaryWord = "primary";
    const char* const replicaWord = "replica";
    /** An address that is not known. */
    const char* const noAddress = "-";

    template <typename Holders> auto findRun(Holders& holders, const EndpointId& id, Milliseconds startedAt)
    {
        return std::find_if(holders.begin(), holders.end(),
            [&](const LogHolder& holder) { return holder.id == id && holder.startedAt == startedAt; });
    }

    /** True if the endpoint has started again since, which ended that run. */
    bool isSuperseded(const LogHolder& holder, const std::vector<EndpointEntry>& listed)
    {
        return std::any_of(listed.begin(), listed.end(), [&holder](const EndpointEntry& entry) {
            return entry.id == holder.id && entry.startedAt > holder.startedAt;
        });
    }

    std::size_t countStaying(const std::vector<EndpointEntry>& listed)
    {
        return static_cast<std::size_t>(
            std::count_if(listed.begin(), listed.end(), [](const EndpointEntry& entry) { return !entry.isLeaving; }));
    }

} // namespace

std::optional<LogHolders> LogHolders::decode(const std::string& text)
{
    std::istringstream words(text);
    std::string version;
    LogHolders record;
    LogPosition& position = record.confirmedPosition_;
    if (!(words >> version >> record.groupSize_ >> record.copies_ >> position.term >> position.index)
        || version != recordVersion)
        return std::nullopt;
    std::string id;
    while (words >> id) {
        Milliseconds::rep startedAt = 0;
        std::string address;
        std::string role;
        std::string state;
        std::string origin;
        if (!(words >> startedAt >> address >> role >> state >> origin)
            || (state != stayingWord && state != leavingWord) || (role != primaryWord && role != replicaWord)
            || (origin != joinedWord && origin != returnedWord))
            return std::nullopt;
        record.holders_.push_back({ EndpointId(fromWord(id)), Milliseconds(startedAt),
            address == noAddress ? std::string() : fromWord(address), role == primaryWord, state == leavingWord,
            origin == returnedWord });
    }
    if (record.holders_.empty())
        return std::nullopt;
    return record;
}

bool LogHolders::isOfLaterVersion(const std::string& text)
{
    std::istringstream words(text);
    unsigned version = 0;
    return words >> version && version > std::stoul(recordVersion);
}

std::string LogHolders::encode() const
{
    std::ostringstream text;
    text << recordVersion << ' ' << groupSize_ << ' ' << copies_ << ' ' << confirmedPosition_.term << ' '
         << confirmedPosition_.index;
    for (const LogHolder& holder : holders_)
        text << ' ' << toWord(holder.id.text()) << ' ' << holder.startedAt.count() << ' '
             << (holder.address.empty() ? noAddress : toWord(holder.address)) << ' '
             << (holder.isPrimary ? primaryWord : replicaWord) << ' ' << (holder.isLeaving ? leavingWord : stayingWord)
             << ' ' << (holder.joinedWithoutPrimary ? returnedWord : joinedWord);
    return text.str();
}

std::size_t LogHolders::requiredLogs(std::size_t synchronousReplicas) const
{
    // Without synchronous replicas no number is safe; all logs but the primary's lose the least.
    const std::size_t copies = std::max<std::size_t>(std::min(synchronousReplicas, copies_), 1);
    return holders_.size() > copies ? holders_.size() - copies : 1;
}

std::vector<LogHolder> LogHolders::missingFrom(const std::vector<EndpointEntry>& listed) const
{
    std::vector<LogHolder> missing;
    std::copy_if(holders_.begin(), holders_.end(), std::back_inserter(missing), [&](const LogHolder& holder) {
        return std::none_of(
            listed.begin(), listed.end(), [&](const EndpointEntry& entry) { return holder.isSameRun(entry); });
    });
    return missing;
}

bool LogHolders::lowerCopies(std::size_t synchronousReplicas)
{
    if (synchronousReplicas >= copies_)
        return false;
    copies_ = synchronousReplicas;
    return true;
}

void LogHolders::confirm(const LogPosition& position, std::size_t copies)
{
    confirmedPosition_ = std::max(confirmedPosition_, position);
    copies_ = copies;
}

bool LogHolders::addListed(const std::vector<EndpointEntry>& listed)
{
    const bool hasPrimary
        = std::any_of(listed.begin(), listed.end(), [](const EndpointEntry& entry) { return entry.reportsPrimary; });
    bool hasChanged = false;
    for (const EndpointEntry& entry : listed) {
        LogHolder holder { entry.id, entry.startedAt, entry.address, entry.reportsPrimary, entry.isLeaving,
            !hasPrimary };
        const auto known = findRun(holders_, entry.id, entry.startedAt);
        if (known == holders_.end())
            holders_.push_back(holder);
        else if (known->isLeaving == holder.isLeaving && known->isPrimary == holder.isPrimary
            && known->address == holder.address)
            continue;
        else {
            holder.joinedWithoutPrimary = known->joinedWithoutPrimary;
            *known = holder;
        }
        hasChanged = true;
    }
    return hasChanged;
}

bool LogHolders::addAll(const LogHolders& other)
{
    confirmedPosition_ = std::max(confirmedPosition_, other.confirmedPosition_);
    copies_ = std::min(copies_, other.copies_);
    bool hasChanged = other.groupSize_ > groupSize_;
    groupSize_ = std::max(groupSize_, other.groupSize_);
    for (const LogHolder& holder : other.holders_) {
        if (findRun(holders_, holder.id, holder.startedAt) != holders_.end())
            continue;
        holders_.push_back(holder);
        hasChanged = true;
    }
    return hasChanged;
}

bool LogHolders::raiseGroupSize(const std::vector<EndpointEntry>& listed)
{
    const std::size_t staying = countStaying(listed);
    if (staying <= groupSize_)
        return false;
    groupSize_ = staying;
    return true;
}

std::vector<LogHolder> LogHolders::replaceable(const std::vector<EndpointEntry>& listed) const
{
    const bool isComplete = countStaying(listed) >= groupSize_;
    std::vector<LogHolder> gone = missingFrom(listed);
    gone.erase(
        std::remove_if(gone.begin(), gone.end(),
            [&](const LogHolder& holder) { return !isComplete && !holder.isLeaving && !isSuperseded(holder, listed); }),
        gone.end());
    return gone;
}

std::size_t LogHolders::removeConfirmed(
    const std::vector<LogHolder>& candidates, const std::vector<EndpointEntry>& listed)
{
    const std::vector<LogHolder> gone = replaceable(listed);
    std::size_t removed = 0;
    std::size_t left = 0;
    for (const LogHolder& holder : candidates) {
        const auto known = findRun(holders_, holder.id, holder.startedAt);
        if (known == holders_.end() || findRun(gone, holder.id, holder.startedAt) == gone.end())
            continue;
        left += known->isLeaving && !isSuperseded(*known, listed) ? 1 : 0;
        holders_.erase(known);
        ++removed;
    }
    // The size falls only by endpoints that left as they had announced and that no other one has replaced.
    const std::size_t staying = countStaying(listed);
    const std::size_t unreplaced = groupSize_ > staying ? groupSize_ - staying : 0;
    groupSize_ -= std::min(left, unreplaced);
    return removed;
}

std::string toText(const std::vector<LogHolder>& holders)
{
    std::string text;
    for (const LogHolder& holder : holders)
        text += (text.empty() ? "" : ",") + holder.id.text();
    return text;
}

} // namespace almondlever
