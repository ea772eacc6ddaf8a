#include "almondlever/capacity/EndpointCapacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondlever {

namespace {

    /** Weight of one answer in the smoothed latency of its class. */
    constexpr double smoothing = 1.0 / 8;
    /** Speeds at which the unloaded latency follows a smoothed latency that is lower, and one that is higher while the
     * endpoint is lightly loaded or loaded. It falls slowly enough that one fast answer does not set it. */
    constexpr double unloadedFall = 1.0 / 4;
    constexpr double unloadedRiseLightly = 1.0 / 100;
    constexpr double unloadedRiseLoaded = 1.0 / 500;
    /** Mean number of other owners' statements in flight up to which latency shows no queue; fewer than the slots. */
    constexpr double lightLoad = 2;
    /** Time in which an observation loses half of its weight; about six own statements are then counted. */
    constexpr double halfLife = 1.0;
    /** Weight of the assumption that there is no excess, in answers. It lets an endpoint without recent answers be
     * tried again, and damps the first few. */
    constexpr double priorWeight = 0.5;
    /** Own answers within about a second from which reports of others do not change the excess. */
    constexpr double sufficientWeight = 3;
    /** A latency of this multiple of the unloaded one indicates a queue even where toleratedExcess is small. */
    constexpr double latencyTolerance = 2;
    /** As in SharedWindow. */
    constexpr double windowSmoothing = 0.2;
    constexpr double windowGrowth = 0.5;
    constexpr double strongestDecrease = 0.5;
    /** Share of the reads in each step of the return, and the answers without a failure that complete a step: of an
     * endpoint that fails a fifth of its statements, 13 % of the returns would succeed. */
    constexpr std::array<double, 3> returnShares { 0.125, 0.25, 0.5 };
    constexpr std::size_t answersPerStep = 3;
    /** Reads that a returning endpoint may get in succession. */
    constexpr double mostReadCredit = 1.5;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration toDuration(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

} // namespace

void EndpointCapacity::setMaximum(std::size_t maximum)
{
    const bool wasFull = window_ >= maximum_;
    maximum_ = static_cast<double>(std::max<std::size_t>(maximum, 1));
    // An endpoint without answers keeps the initial window of one statement.
    window_ = wasFull && !records_.empty() ? maximum_ : std::min(window_, maximum_);
}

EndpointCapacity::ClassRecord& EndpointCapacity::recordOf(const StatementClass& kind)
{
    const std::uint64_t number = kind.number();
    for (ClassRecord& record : records_) {
        if (record.kind == number)
            return record;
    }
    ClassRecord& added = records_.emplace_back();
    added.kind = number;
    return added;
}

const EndpointCapacity::ClassRecord* EndpointCapacity::findRecord(const StatementClass& kind) const
{
    const auto found = std::find_if(records_.begin(), records_.end(),
        [number = kind.number()](const ClassRecord& record) { return record.kind == number && record.isMeasured; });
    return found == records_.end() ? nullptr : &*found;
}

EndpointCapacity::Bucket& EndpointCapacity::bucketAt(ClassRecord& record, TimePoint now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket& bucket = record.recent[static_cast<std::size_t>(number) % buckets];
    if (bucket.number != number) {
        bucket = Bucket();
        bucket.number = number;
    }
    return bucket;
}

double EndpointCapacity::decayed(double value, TimePoint since, TimePoint now) const
{
    const double age = std::max(seconds(now - since), 0.0);
    return value * std::exp2(-age / halfLife);
}

void EndpointCapacity::noteAnswer(const StatementClass& kind, Duration latency, std::size_t running, TimePoint now)
{
    ClassRecord& record = recordOf(kind);
    Bucket& bucket = bucketAt(record, now);
    ++bucket.answers;
    const double taken = seconds(latency);
    bucket.latency += taken;
    if (!record.isMeasured) {
        record.isMeasured = true;
        record.smoothed = record.unloaded = taken;
    }
    record.smoothed += (taken - record.smoothed) * smoothing;
    const bool isLightlyLoaded = running <= 1 && reportedRunning(now) < lightLoad;
    const double rise = isLightlyLoaded ? unloadedRiseLightly : unloadedRiseLoaded;
    record.unloaded += (record.smoothed - record.unloaded) * (record.smoothed < record.unloaded ? unloadedFall : rise);
    weight_ = decayed(weight_, evidenceAt_, now) + 1;
    excess_ = decayed(excess_, evidenceAt_, now) + taken - record.unloaded;
    evidenceAt_ = now;
    meanUnloaded_ += (record.unloaded - meanUnloaded_) * (meanUnloaded_ == 0 ? 1 : smoothing);
    if (state_ == State::Returning && StatementClass::isRead(record.kind))
        ++stepAnswers_;
    updateWindow(latency, running, now);
}

void EndpointCapacity::noteFailure(const StatementClass& kind, TimePoint now)
{
    ++bucketAt(recordOf(kind), now).failures;
}

void EndpointCapacity::noteRefusal(const StatementClass& kind, TimePoint now)
{
    ++bucketAt(recordOf(kind), now).refusals;
    startAnswers_ = 0;
    if (now - refusedAt_ < refusalInterval)
        return;
    refusedAt_ = now;
    window_ = std::max(minimumWindow, window_ / 2);
}

void EndpointCapacity::noteReport(
    const VmId& from, const std::vector<const EndpointReport*>& entries, Milliseconds period, TimePoint now)
{
    PeerRecord record;
    record.at = now;
    record.period = std::max(seconds(period), 0.1);
    for (const EndpointReport* entry : entries) {
        const auto answers = static_cast<double>(entry->answers);
        record.answers += answers;
        record.latency += answers * seconds(entry->meanLatency);
        record.excess += answers * seconds(entry->meanLatency - entry->unloadedLatency);
        if (!StatementClass::isRead(entry->kind))
            continue;
        record.reads.answers += answers;
        record.reads.failures += static_cast<double>(entry->failures);
        record.reads.refusals += static_cast<double>(entry->refusals);
    }
    peers_[from] = record;
    for (auto it = peers_.begin(); it != peers_.end();)
        it = now - it->second.at >= reportLifetime ? peers_.erase(it) : std::next(it);
}

void EndpointCapacity::fillReport(
    const EndpointId& id, std::size_t running, std::vector<EndpointReport>& entries, TimePoint now) const
{
    const std::int64_t oldest = bucketNumber(now) - static_cast<std::int64_t>(buckets);
    std::size_t unreportedRunning = running;
    for (const ClassRecord& record : records_) {
        EndpointReport entry;
        double latency = 0;
        for (const Bucket& bucket : record.recent) {
            if (bucket.number <= oldest)
                continue;
            entry.answers += bucket.answers;
            entry.failures += bucket.failures;
            entry.refusals += bucket.refusals;
            latency += bucket.latency;
        }
        if (entry.answers + entry.failures + entry.refusals == 0)
            continue;
        entry.endpoint = id;
        entry.kind = record.kind;
        if (entry.answers > 0)
            entry.meanLatency
                = std::chrono::duration_cast<Microseconds>(toDuration(latency / static_cast<double>(entry.answers)));
        entry.unloadedLatency = std::chrono::duration_cast<Microseconds>(toDuration(record.unloaded));
        entry.running = std::exchange(unreportedRunning, 0);
        entries.push_back(std::move(entry));
    }
}

EndpointCapacity::Evidence EndpointCapacity::combinedEvidence(TimePoint now) const
{
    Evidence evidence;
    evidence.weight = decayed(weight_, evidenceAt_, now);
    evidence.excess = decayed(excess_, evidenceAt_, now);
    // Reports are seconds old. Owners that all follow them move together from one endpoint to the next, so they count
    // only as far as own answers are missing.
    const double missing = std::max(1 - evidence.weight / sufficientWeight, 0.0);
    if (missing == 0)
        return evidence;
    for (const auto& [peer, record] : peers_) {
        if (now - record.at >= reportLifetime || record.at < stateSince_)
            continue;
        // As many answers as an own observation of that rate would count.
        const double share = missing * decayed(std::min(halfLife / std::log(2.0) / record.period, 1.0), record.at, now);
        evidence.weight += record.answers * share;
        evidence.excess += record.excess * share;
    }
    return evidence;
}

Duration EndpointCapacity::excess(TimePoint now) const
{
    const Evidence evidence = combinedEvidence(now);
    return toDuration(std::max(evidence.excess / (evidence.weight + priorWeight), 0.0));
}

double EndpointCapacity::evidence(TimePoint now) const { return combinedEvidence(now).weight; }

Duration EndpointCapacity::meanUnloadedLatency() const { return toDuration(meanUnloaded_); }

std::optional<Duration> EndpointCapacity::unloadedLatency(const StatementClass& kind) const
{
    const ClassRecord* record = findRecord(kind);
    return record ? std::optional<Duration>(toDuration(record->unloaded)) : std::nullopt;
}

std::optional<Duration> EndpointCapacity::expectedLatency(const StatementClass& kind, TimePoint now) const
{
    const ClassRecord* record = findRecord(kind);
    if (!record)
        return std::nullopt;
    return toDuration(record->unloaded) + excess(now);
}

double EndpointCapacity::reportedRunning(TimePoint now) const
{
    // Little's law: the mean number in flight is the rate times the mean latency.
    double running = 0;
    for (const auto& [peer, record] : peers_) {
        if (now - record.at < reportLifetime)
            running += record.latency / record.period;
    }
    return running;
}

void EndpointCapacity::updateWindow(Duration latency, std::size_t running, TimePoint now)
{
    const double unloaded = std::max(meanUnloaded_, 1e-6);
    const double tolerated = std::max(unloaded * latencyTolerance, unloaded + seconds(toleratedExcess));
    const double gradient = std::clamp(tolerated / (unloaded + seconds(excess(now))), strongestDecrease, 1.0);
    const bool isFull = static_cast<double>(running) + 1 > window_;
    startAnswers_ = gradient >= 1 && startAnswers_ > 0 ? startAnswers_ - 1 : 0;
    if (startAnswers_ > 0) {
        // Doubles with each round of answers: after a power loss, all owners begin with one statement.
        window_ = isFull ? std::min(window_ + 1, maximum_) : window_;
        return;
    }
    const double target = window_ * gradient + (isFull && gradient >= 1 ? windowGrowth : 0);
    window_ = std::clamp(window_ + (target - window_) * windowSmoothing, minimumWindow, maximum_);
    if (window_ < 1)
        pausedUntil_ = now + std::chrono::duration_cast<Duration>(latency * (1 / window_ - 1));
}

bool EndpointCapacity::allows(std::size_t running, bool isUrgent, TimePoint now) const
{
    const std::size_t wholeStatements = std::max<std::size_t>(static_cast<std::size_t>(window_), 1);
    if (isUrgent)
        return running < wholeStatements + 1;
    return running < wholeStatements && (window_ >= 1 || now >= pausedUntil_);
}

StatementCounts EndpointCapacity::ownReads(TimePoint now) const
{
    StatementCounts counts;
    const std::int64_t oldest = bucketNumber(now) - static_cast<std::int64_t>(buckets);
    for (const ClassRecord& record : records_) {
        if (!StatementClass::isRead(record.kind))
            continue;
        for (const Bucket& bucket : record.recent) {
            if (bucket.number <= oldest)
                continue;
            counts.answers += bucket.answers;
            counts.failures += bucket.failures;
            counts.refusals += bucket.refusals;
        }
    }
    return counts;
}

StatementCounts EndpointCapacity::reportedReads(TimePoint now) const
{
    StatementCounts counts;
    for (const auto& [peer, record] : peers_) {
        if (now - record.at >= reportLifetime || record.at < stateSince_)
            continue;
        counts.answers += record.reads.answers;
        counts.failures += record.reads.failures;
        counts.refusals += record.reads.refusals;
    }
    return counts;
}

void EndpointCapacity::forgetRecent()
{
    for (ClassRecord& record : records_)
        record.recent.fill(Bucket());
    weight_ = 0;
    excess_ = 0;
}

void EndpointCapacity::eject(bool takesOverflow, TimePoint now)
{
    takesOverflow_ = takesOverflow;
    const bool isRepeated = state_ != State::Admitted || now - stateSince_ < forgivenAfter;
    ejectionTime_
        = isRepeated && ejectionTime_.count() > 0 ? std::min(ejectionTime_ * 2, longestEjection) : firstEjection;
    state_ = State::Ejected;
    stateSince_ = now;
}

bool EndpointCapacity::advance(TimePoint now)
{
    if (state_ == State::Ejected) {
        if (now - stateSince_ < ejectionTime_)
            return false;
        state_ = State::Returning;
        stateSince_ = now;
        returnStep_ = 0;
        stepAnswers_ = 0;
        readCredit_ = 0;
        // What was seen before the ejection says nothing about the endpoint's present state.
        forgetRecent();
        return true;
    }
    if (state_ != State::Returning || stepAnswers_ < answersPerStep)
        return false;
    stepAnswers_ = 0;
    if (++returnStep_ < returnShares.size())
        return false;
    state_ = State::Admitted;
    stateSince_ = now;
    return true;
}

double EndpointCapacity::share() const
{
    if (state_ == State::Admitted)
        return 1;
    return state_ == State::Ejected ? 0 : returnShares[std::min(returnStep_, returnShares.size() - 1)];
}

void EndpointCapacity::countRead()
{
    if (state_ == State::Returning)
        readCredit_ = std::min(readCredit_ + share(), mostReadCredit);
}

const char* toText(EndpointCapacity::State state)
{
    switch (state) {
    case EndpointCapacity::State::Ejected:
        return "ejected";
    case EndpointCapacity::State::Returning:
        return "returning";
    case EndpointCapacity::State::Admitted:
        break;
    }
    return "admitted";
}

} // namespace almondlever
