#pragma once

#include "almondlever/capacity/StatementClass.h"
#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"
#include "almondlever/wire/GroupReport.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace almondlever {

/** Counts of statements within the last seconds. */
struct StatementCounts {
    double answers = 0;
    double failures = 0;
    double refusals = 0;

    double failureShare() const { return answers + failures > 0 ? failures / (answers + failures) : 0; }
    double refusalShare() const { return answers + refusals > 0 ? refusals / (answers + refusals) : 0; }
};

/**
 * What this daemon knows of the capacity of one endpoint: for each class of statement the latency without load, the
 * present excess over it, the number of statements that the endpoint handles well, and whether it gets reads.
 *
 * The excess over the unloaded latency of the same class is comparable between classes, and between owners with
 * different round trips; the estimate therefore combines all classes and the reports of other owners. It loses weight
 * with age, so that an endpoint that got no statements is tried again. Not thread-safe.
 */
class EndpointCapacity {
public:
    enum class State {
        Admitted,
        /** Gets no reads while another endpoint can serve them. */
        Ejected,
        /** Gets a growing share of the reads. */
        Returning,
    };

    /** Excess that does not indicate a queue: about the duration of one statement, as for SharedWindow. */
    static constexpr Milliseconds toleratedExcess { 40 };
    /** Smallest window: one statement, followed by a pause of three times its duration. */
    static constexpr double minimumWindow = 0.25;
    /** Refusals within this interval shrink the window once, because a full queue refuses several together. */
    static constexpr Milliseconds refusalInterval { 100 };
    /** Age after which a report is not used any more. */
    static constexpr Milliseconds reportLifetime { 8000 };
    /** First and longest time of an ejection; it doubles while the endpoint fails again. */
    static constexpr Milliseconds firstEjection { 1000 };
    static constexpr Milliseconds longestEjection { 16000 };
    /** Time without an ejection after which the next one is short again. */
    static constexpr Milliseconds forgivenAfter { 30000 };

    /** Sets the number of connections that the daemon may use, which bounds the window. */
    void setMaximum(std::size_t);

    /** Records an answer with its latency and the number of statements of this daemon that were running. */
    void noteAnswer(const StatementClass&, Duration latency, std::size_t running, TimePoint now);
    /** Records a lost connection, a time-out or an error of the endpoint. */
    void noteFailure(const StatementClass&, TimePoint now);
    /** Records that the endpoint refused a statement because its queue is full. */
    void noteRefusal(const StatementClass&, TimePoint now);
    /** Records the entries of another owner's report that concern this endpoint. */
    void noteReport(const VmId& from, const std::vector<const EndpointReport*>&, Milliseconds period, TimePoint now);
    /** Appends what this daemon observed within the last seconds. */
    void fillReport(const EndpointId&, std::size_t running, std::vector<EndpointReport>&, TimePoint now) const;

    /** Latency that the class is expected to have now; nullopt without any answer of the class. */
    std::optional<Duration> expectedLatency(const StatementClass&, TimePoint now) const;
    /** Unloaded latency of the class; nullopt without any answer of it. */
    std::optional<Duration> unloadedLatency(const StatementClass&) const;
    /** Present excess over the unloaded latency, by own statements and reports. */
    Duration excess(TimePoint now) const;
    /** Number of recent answers on which excess() is based. */
    double evidence(TimePoint now) const;
    /** Mean unloaded latency of the recent statements. */
    Duration meanUnloadedLatency() const;
    /** Mean number of statements that the other owners had running. */
    double reportedRunning(TimePoint now) const;

    /** True if another statement may start; the most urgent rank may exceed the window by one. */
    bool allows(std::size_t running, bool isUrgent, TimePoint now) const;
    /** Average number of statements that may run. */
    double window() const { return window_; }

    /** Reads of this daemon since the endpoint was admitted or began to return, at most the last seconds. */
    StatementCounts ownReads(TimePoint now) const;
    /** Reads of the other owners, by reports that arrived since the endpoint was admitted. */
    StatementCounts reportedReads(TimePoint now) const;

    State state() const { return state_; }
    /** Ejects the endpoint; one that takes overflow still gets reads for which no other has room. */
    void eject(bool takesOverflow, TimePoint now);
    bool takesOverflow() const { return takesOverflow_; }
    Milliseconds ejectionTime() const { return ejectionTime_; }
    /** Lets an ejection that has lasted long enough end, and raises the share of a returning endpoint. Returns true
     * when the state changed. */
    bool advance(TimePoint now);
    /** Share of the reads that the endpoint may get. */
    double share() const;
    /** Counts a read of the group towards the share of a returning endpoint. */
    void countRead();
    /** True if the next read belongs to the share of a returning endpoint. */
    bool hasReturningRead() const { return state_ == State::Returning && readCredit_ >= 1; }
    /** Records that such a read was given to the endpoint. */
    void takeReturningRead() { readCredit_ -= 1; }

private:
    static constexpr std::size_t buckets = 8;
    static constexpr Milliseconds bucketTime { 500 };

    struct Bucket {
        std::int64_t number = -1;
        std::uint32_t answers = 0;
        std::uint32_t failures = 0;
        std::uint32_t refusals = 0;
        double latency = 0;
    };
    /** Times in seconds. */
    struct ClassRecord {
        std::uint64_t kind = 0;
        bool isMeasured = false;
        double smoothed = 0;
        double unloaded = 0;
        std::array<Bucket, buckets> recent;
    };
    struct PeerRecord {
        TimePoint at;
        StatementCounts reads;
        double answers = 0;
        /** Sums over the answers, in seconds. */
        double excess = 0;
        double latency = 0;
        double period = 1;
    };
    struct Evidence {
        double weight = 0;
        double excess = 0;
    };

    ClassRecord& recordOf(const StatementClass&);
    const ClassRecord* findRecord(const StatementClass&) const;
    static Bucket& bucketAt(ClassRecord&, TimePoint now);
    static std::int64_t bucketNumber(TimePoint now) { return now.time_since_epoch() / bucketTime; }
    Evidence combinedEvidence(TimePoint now) const;
    double decayed(double value, TimePoint since, TimePoint now) const;
    void updateWindow(Duration latency, std::size_t running, TimePoint now);
    void forgetRecent();

    std::vector<ClassRecord> records_;
    std::map<VmId, PeerRecord> peers_;
    /** Decayed sums over own answers up to evidenceAt_. */
    double weight_ = 0;
    double excess_ = 0;
    double meanUnloaded_ = 0;
    TimePoint evidenceAt_ {};

    double maximum_ = 1;
    double window_ = 1;
    /** Answers in which the window of a new daemon grows quickly; 0 after the first sign of a queue. */
    std::size_t startAnswers_ = 16;
    TimePoint refusedAt_ {};
    TimePoint pausedUntil_ {};

    State state_ = State::Admitted;
    TimePoint stateSince_ {};
    Milliseconds ejectionTime_ { 0 };
    bool takesOverflow_ = false;
    std::size_t returnStep_ = 0;
    std::size_t stepAnswers_ = 0;
    double readCredit_ = 0;
};

/** "admitted", "ejected" or "returning". */
const char* toText(EndpointCapacity::State);

} // namespace almondlever
