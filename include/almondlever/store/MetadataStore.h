#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondlever {

/** A key of the platform's store with its value, or the news that it was deleted. */
struct StoreItem {
    std::string key;
    std::string value;
    /** Store-wide number of the last change of the key, with the era of the store above it (storeEra). */
    std::uint64_t revision = 0;
    /** Number of the lease with which the key ends; 0 when it stays. */
    std::uint64_t lease = 0;
    bool isDeleted = false;
};

/** Part of the keys with a prefix. */
struct StorePage {
    std::vector<StoreItem> items;
    /** Revision of the store at which the page was read. */
    std::uint64_t asOf = 0;
    /** More keys follow after the last one. */
    bool isTruncated = false;
};

struct StoreFailure {
    enum class Kind {
        /** No answer; a change may have been made or may still be made. */
        NoAnswer,
        /** Nothing was done: not sent, or the store refuses calls at present. */
        Unavailable,
        /** Nothing was done: the asked history is no longer kept. */
        HistoryGone,
        /** Nothing was done: an expected revision was not the current one. */
        Conflict,
        /** Nothing was done: the lease has ended. */
        LeaseGone,
        /** Nothing was done: the call itself is wrong. */
        Rejected,
    };
    Kind kind = Kind::NoAnswer;
    std::string detail;
};

/** "no_answer", "unavailable" and so on. */
const char* toText(StoreFailure::Kind);

template <typename Value> using StoreResult = Result<Value, StoreFailure>;

/** Names a lease. A restored store gives the numbers of an earlier era out again, to others. */
struct LeaseId {
    /** Any number; 0 for no lease. */
    std::uint64_t number = 0;
    std::uint64_t era = 0;

    bool isNone() const { return number == 0; }
};

/** Changes that are made together, or not at all. */
struct StoreTransaction {
    struct Expectation {
        std::string key;
        /** 0: the key does not exist. */
        std::uint64_t revision = 0;
    };
    struct Put {
        std::string key;
        std::string value;
        /** None: the key stays until it is deleted. */
        LeaseId lease {};
    };
    std::vector<Expectation> expected;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

/** A right to keep keys in the store; ends unless it is renewed, and with the era of the store. */
struct StoreLease {
    LeaseId id;
    Milliseconds duration { 0 };
};

/**
 * The platform's store. Callbacks come exactly once, on the same thread, never from inside the call.
 *
 * Revisions contain the era of the store (storeEra), leases name it. After a restore of the store, what an earlier era
 * gave out is refused: a watch with HistoryGone, an expected revision with Conflict, a lease with LeaseGone.
 */
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    /** Reads the keys with a prefix that sort behind the given key. */
    virtual void readRange(
        const std::string& prefix, const std::string& afterKey, std::function<void(StoreResult<StorePage>)>)
        = 0;
    /** Waits for changes of keys with the prefix after a revision; an empty page when there was none. */
    virtual void watch(const std::string& prefix, std::uint64_t afterRevision, Milliseconds wait,
        std::function<void(StoreResult<StorePage>)>)
        = 0;
    /** Makes the changes when all expectations hold; gives their revision. */
    virtual void transact(const StoreTransaction&, std::function<void(StoreResult<std::uint64_t>)>) = 0;
    virtual void grantLease(Milliseconds duration, std::function<void(StoreResult<StoreLease>)>) = 0;
    virtual void renewLease(const LeaseId&, std::function<void(StoreResult<Done>)>) = 0;
};

} // namespace almondlever
