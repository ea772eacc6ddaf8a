#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondlever {

/** A key of the platform's store with its value, or a record of its deletion. */
struct StoreItem {
    std::string key;
    std::string value;
    /** Store-wide number of the last change of the key, with the era of the store in the high bits (storeEra). */
    std::uint64_t revision = 0;
    /** Number of the lease that the key expires with; 0 for a permanent key. */
    std::uint64_t lease = 0;
    bool isDeleted = false;
};

/** One page of the keys with a prefix. */
struct StorePage {
    std::vector<StoreItem> items;
    /** Revision of the store at which the page was read. */
    std::uint64_t asOf = 0;
    /** More keys follow the last one of this page. */
    bool isTruncated = false;
};

struct StoreFailure {
    enum class Kind {
        /** No answer; the change may have been made or may still be made. */
        NoAnswer,
        /** Nothing was done: the call was not sent, or the store currently refuses calls. */
        Unavailable,
        /** Nothing was done: the store no longer keeps the requested history. */
        HistoryGone,
        /** Nothing was done: an expected revision was not the current one. */
        Conflict,
        /** Nothing was done: the lease has ended. */
        LeaseGone,
        /** Nothing was done: the call is invalid. */
        Rejected,
    };
    Kind kind = Kind::NoAnswer;
    std::string detail;
};

/** Returns "no_answer", "unavailable" and so on. */
const char* toText(StoreFailure::Kind);

template <typename Value> using StoreResult = Result<Value, StoreFailure>;

/** Identifies a lease. A restored store assigns the lease numbers of an earlier era again, to other clients. */
struct LeaseId {
    /** Any number; 0 for no lease. */
    std::uint64_t number = 0;
    std::uint64_t era = 0;

    bool isNone() const { return number == 0; }
};

/** Changes that are applied atomically. */
struct StoreTransaction {
    struct Expectation {
        std::string key;
        /** 0 if the key must not exist. */
        std::uint64_t revision = 0;
    };
    struct Put {
        std::string key;
        std::string value;
        /** Without a lease the key stays until it is deleted. */
        LeaseId lease {};
    };
    std::vector<Expectation> expected;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

/** A lease that keys are attached to; ends unless it is renewed, and at the latest with the era of the store. */
struct StoreLease {
    LeaseId id;
    Milliseconds duration { 0 };
};

/**
 * The platform's key-value store. Each callback is invoked once, on the same thread, never from inside the call.
 *
 * Revisions and lease ids contain the era of the store (storeEra). After a restore of the store, those of an earlier
 * era are refused: a watch fails with HistoryGone, an expected revision with Conflict, a lease with LeaseGone.
 */
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    /** Reads the keys with a prefix that sort after the given key. */
    virtual void readRange(
        const std::string& prefix, const std::string& afterKey, std::function<void(StoreResult<StorePage>)>)
        = 0;
    /** Waits for changes of keys with the prefix after a revision; the page is empty if there were none. */
    virtual void watch(const std::string& prefix, std::uint64_t afterRevision, Milliseconds wait,
        std::function<void(StoreResult<StorePage>)>)
        = 0;
    /** Applies the changes if all expected revisions match; passes on the revision of the changes. */
    virtual void transact(const StoreTransaction&, std::function<void(StoreResult<std::uint64_t>)>) = 0;
    virtual void grantLease(Milliseconds duration, std::function<void(StoreResult<StoreLease>)>) = 0;
    virtual void renewLease(const LeaseId&, std::function<void(StoreResult<Done>)>) = 0;
};

} // namespace almondlever
