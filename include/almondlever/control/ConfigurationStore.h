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

/** A configuration as stored, with the head that names it and the head's revision in the key-value service. */
struct StoredConfiguration {
    Configuration configuration;
    ConfigurationHead head;
    std::uint64_t headRevision = 0;
    /** The canonical bytes, as peers pass them on. */
    std::string bytes;
};

/** Why an operation of the store did not give a result. */
struct ConfigurationStoreError {
    enum class Code {
        /** The service did not answer, or refuses because of its call rate. Nothing changed. */
        Unreachable,
        /** The service refuses the value. Nothing changed. */
        Refused,
        /** What is stored cannot be read: a head or part is malformed, missing or damaged. Nothing changed. */
        Damaged,
        /** The change may take effect, or may have taken effect, and the service does not tell. */
        OutcomeUnknown,
    };
    Code code = Code::Unreachable;
    std::string detail;
};

/** The apply took effect, exactly once. */
struct ConfigurationApplied {
    std::uint64_t version = 0;
    /** The newer version that already replaced it; zero when it is the current one. */
    std::uint64_t replacedBy = 0;
};

/** Another operator's apply came first; nothing of this one took effect. */
struct ConfigurationConflict {
    /** What is stored now; nullopt when the head was deleted or cannot be read. */
    std::optional<StoredConfiguration> stored;
};

using ApplyResult = std::variant<ConfigurationApplied, ConfigurationConflict, ConfigurationStoreError>;

/** Time-outs and repeats of the store's calls. */
struct ConfigurationStoreSettings {
    /** Time for the answer to one call. */
    Duration callTimeout = std::chrono::seconds(2);
    /** Calls of one step before it is given up. */
    unsigned maximumAttempts = 5;
    /** Delay before the second call; doubled before each later one. */
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
     * Waits at most the given time until the head's revision differs from the known one, then reads the configuration;
     * nullopt when it has not changed or there is none. Makes one call when nothing changes, and does not repeat it.
     */
    void awaitChange(std::uint64_t knownRevision, Milliseconds wait, ReadCallback);

    /**
     * Applies a configuration on top of the one that the operator saw (nullopt: none). Succeeds only while that one is
     * still the newest. A lost answer is resolved by reading the head.
     */
    void apply(
        const Configuration&, const std::optional<StoredConfiguration>& base, const ApplyDetails&, ApplyCallback);

    /** Deletes parts that neither the current release nor one kept for readers uses; gives their number. */
    void collectGarbage(CollectCallback);

private:
    std::shared_ptr<const ConfigurationStoreServices> services_;
};

} // namespace almondlever
