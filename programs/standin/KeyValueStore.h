#pragma once

#include "almondlever/common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace almondlever::standin {

/** Result of a change: the new revision, or the current one when the expected revision was another. */
struct KeyValueChange {
    bool isDone = false;
    std::uint64_t revision = 0;
};

/** The rules of the key-value service: compare-and-swap, revisions that are never reused, leases. No networking. */
class KeyValueStore {
public:
    struct Entry {
        std::string value;
        std::uint64_t revision = 0;
        /** Moment at which the key is deleted unless it is written again. */
        std::optional<TimePoint> expiresAt;
    };

    /** The entry, or null when the key does not exist. Leases that ended are removed by expire. */
    const Entry* find(const std::string& key) const;
    /** Current revision; zero when the key does not exist. */
    std::uint64_t revisionOf(const std::string& key) const;
    /** Writes when the revision is the expected one; zero expects that the key does not exist. */
    KeyValueChange compareAndSwap(const std::string& key, std::uint64_t expectedRevision, std::string value,
        std::optional<Milliseconds> lease, TimePoint now);
    KeyValueChange remove(const std::string& key, std::uint64_t expectedRevision);
    std::vector<std::string> list(const std::string& prefix) const;

    /** Deletes the keys whose lease ended and returns them. */
    std::vector<std::string> expire(TimePoint now);
    /** When the next lease ends. */
    std::optional<TimePoint> nextExpiry() const;

private:
    std::map<std::string, Entry> entries_;
    std::uint64_t lastRevision_ = 0;
};

/** Bound on calls per second: a token bucket that holds the calls of one second. */
class CallRate {
public:
    explicit CallRate(double callsPerSecond)
        : callsPerSecond_(callsPerSecond)
        , tokens_(callsPerSecond)
    {
    }

    /** Counts a call; false when the rate is exceeded. */
    bool admit(TimePoint now);
    /** Most calls, admitted or not, in one clock second. */
    std::uint64_t peakPerSecond() const { return peak_; }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t refused() const { return refused_; }

private:
    double callsPerSecond_;
    double tokens_;
    std::optional<TimePoint> refilledAt_;
    std::int64_t second_ = 0;
    std::uint64_t callsInSecond_ = 0;
    std::uint64_t peak_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace almondlever::standin
