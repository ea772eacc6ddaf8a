#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/config/Configuration.h"
#include "almondlever/config/ConfigurationParts.h"
#include "almondlever/platform/KeyValueService.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace almondlever {

/** A stored configuration with the head that references it and the head's revision in the key-value service. */
struct StoredConfiguration {
    Configuration configuration;
    ConfigurationHead head;
    std::uint64_t headRevision = 0;
    /** Canonical encoding, the form in which peers distribute the configuration. */
    std::string bytes;
};

/** Reason why a store operation failed. */
struct ConfigurationStoreError {
    enum class Code {
        /** The service did not answer or rejected the call because of its rate limit. Nothing changed. */
        Unreachable,
        /** The service rejected the value. Nothing changed. */
        Refused,
        /** The stored data cannot be read: a head or part is malformed, missing or damaged. Nothing changed. */
        Damaged,
        /** The change may have taken effect or may still do so; the service's answers do not tell. */
        OutcomeUnknown,
    };
    Code code = Code::Unreachable;
    std::string detail;
};

/** The apply took effect, exactly once. */
struct ConfigurationApplied {
    std::uint64_t version = 0;
    /** The newer version that has already replaced this one; zero while this one is current. */
    std::uint64_t replacedBy = 0;
};

/** Another operator's apply came first; this one had no effect. */
struct ConfigurationConflict {
    /** The configuration stored now; nullopt when the head was deleted or cannot be read. */
    std::optional<StoredConfiguration> stored;
};

using ApplyResult = std::variant<ConfigurationApplied, ConfigurationConflict, ConfigurationStoreError>;

/** Timeouts and retries of the store's calls. */
struct ConfigurationStoreSettings {
    /** Timeout of a single call. */
    Duration callTimeout = std::chrono::seconds(2);
    /** Attempts at one step before it fails. */
    unsigned maximumAttempts = 5;
    /** Delay before the second attempt; doubled before each later one. */
    Duration firstRetryDelay = std::chrono::milliseconds(100);
};

struct ConfigurationStoreServices;

/**
 * Reads and applies configurations in the key-value service. Parts are written before the head is switched by
 * compare-and-swap, so a reader never sees a head whose parts are missing. Callbacks are called exactly once on the
 * calling thread. The service must outlive every operation; the store itself need not.
 *
 * @see ConfigurationParts.h
 */
class ConfigurationStore {
public:
    /** Runs a function after a delay, on the same thread. */
    using RunLater = std::function<void(Duration, std::function<void()>)>;
    using ReadCallback = std::function<void(Result<std::optional<StoredConfiguration>, ConfigurationStoreError>)>;
    using ApplyCallback = std::function<void(ApplyResult)>;
    using CollectCallback = std::function<void(Result<std::size_t, ConfigurationStoreError>)>;

    ConfigurationStore(KeyValueService&, RunLater, ConfigurationStoreSettings = {});

    /** Reads the newest configuration; nullopt when none was ever applied. */
    void readNewest(ReadCallback);

    /**
     * Waits at most the given time until the head's revision differs from the known one, then reads the configuration.
     * Gives nullopt when the head has not changed or does not exist. The watch itself is a single call without retries.
     */
    void awaitChange(std::uint64_t knownRevision, Milliseconds wait, ReadCallback);

    /**
     * Replaces the configuration that the operator saw (nullopt: none). Succeeds only while that one is still the
     * newest. When the answer is lost, reads the head to find out whether the apply took effect.
     */
    void apply(
        const Configuration&, const std::optional<StoredConfiguration>& base, const ApplyDetails&, ApplyCallback);

    /** Deletes parts that neither the current release nor a retained one uses; gives the number of deleted parts. */
    void collectGarbage(CollectCallback);

private:
    std::shared_ptr<const ConfigurationStoreServices> services_;
};

} // namespace almondlever
