#include "FinalReader.h"

#include <algorithm>
#include <set>

namespace almondlever::load {

namespace {

    constexpr std::size_t parallelReads = 16;
    constexpr std::size_t attemptsPerKey = 6;
    constexpr Milliseconds repeatDelay { 200 };

} // namespace

FinalReader::FinalReader(const Workload& workload, RunContext& run)
    : workload_(workload)
    , run_(run)
    , context_(1)
    , sender_(context_, run)
{
}

std::vector<Operation> FinalReader::readBack(const std::vector<Operation>& history)
{
    std::set<KeyName> keys;
    for (const Operation& operation : history) {
        const bool isWritten = operation.type == OperationType::Write && operation.outcome != Outcome::NotRun;
        if (isWritten)
            keys.insert({ operation.database, operation.key });
    }
    keys_.assign(keys.begin(), keys.end());
    // Databases take turns, so that one that does not answer leaves time for the others.
    std::stable_sort(
        keys_.begin(), keys_.end(), [](const KeyName& a, const KeyName& b) { return a.second < b.second; });
    end_ = sender_.timers().now() + workload_.readBackTime;
    for (std::size_t number = 0; number < parallelReads; ++number)
        readNext(attemptsPerKey);
    while (active_ > 0)
        context_.run_one();
    return std::move(sender_.operations());
}

void FinalReader::readNext(std::size_t attemptsLeft)
{
    if (next_ >= keys_.size() || sender_.timers().now() >= end_)
        return;
    ++active_;
    const KeyName key = keys_[next_++];
    read(key, attemptsLeft);
}

void FinalReader::read(const KeyName& key, std::size_t attemptsLeft)
{
    const auto reader = std::find_if(workload_.callers.begin(), workload_.callers.end(),
        [](const CallerLoad& caller) { return caller.readsOwnWrites; });
    const CallerLoad& caller = reader == workload_.callers.end() ? workload_.callers.front() : *reader;
    OutgoingOperation outgoing;
    Operation& operation = outgoing.operation;
    operation.caller = caller.name;
    operation.session = "final-reader";
    operation.rank = caller.rank;
    operation.phase = "read-back";
    operation.type = OperationType::FinalRead;
    operation.database = key.first;
    operation.key = key.second;
    operation.readsOwnWrites = caller.readsOwnWrites;
    outgoing.deadline = caller.deadline;
    outgoing.daemon = sender_.chooseDaemon(run_.daemons.size(), run_.nextNumber);
    sender_.send(std::move(outgoing), [this, key, attemptsLeft](const Operation& answered, const AnswerDetails&) {
        const bool isOver = answered.isAcknowledged || attemptsLeft <= 1 || sender_.timers().now() >= end_;
        if (isOver) {
            --active_;
            return readNext(attemptsPerKey);
        }
        sender_.timers().callAfter(std::max(repeatDelay, answered.retryAfter),
            [this, key, attemptsLeft](TimePoint) { read(key, attemptsLeft - 1); });
    });
}

} // namespace almondlever::load
