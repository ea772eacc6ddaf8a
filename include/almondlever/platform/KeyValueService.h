#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Maximum size of a value in the service. */
inline constexpr std::size_t maximumKeyValueBytes = 1024 * 1024;

/** A stored value and its revision, which changes with every write to the key. */
struct VersionedValue {
    std::string value;
    std::uint64_t revision = 0;
};

struct KeyValueError {
    enum class Code {
        /** No answer; a change may have taken effect. */
        NoAnswer,
        /** The expected revision was not the current one; nothing changed. */
        Conflict,
        /** The service rejected the call because the rate limit is exceeded; nothing changed. */
        RateLimited,
        /** The request is malformed or too large; nothing changed. */
        Rejected,
        /** The service could not be reached and no byte was sent; nothing changed. */
        NotSent,
    };
    Code code = Code::NoAnswer;
    std::string detail;
    /** The current revision; set only for Conflict. */
    std::uint64_t revision = 0;
};

template <typename Value> using KeyValueResult = Result<Value, KeyValueError>;

/** The platform's key-value service. Callbacks are called exactly once, on the calling thread. */
class KeyValueService {
public:
    using GetCallback = std::function<void(KeyValueResult<std::optional<VersionedValue>>)>;
    using WriteCallback = std::function<void(KeyValueResult<std::uint64_t>)>;
    using ListCallback = std::function<void(KeyValueResult<std::vector<std::string>>)>;

    virtual ~KeyValueService() = default;

    /** Reads a key; the result is nullopt if it does not exist. */
    virtual void get(const std::string& key, Duration timeout, GetCallback) = 0;
    /** Waits, at most for the given time, until the key's revision differs from the known one; returns the same as get.
     */
    virtual void watch(
        const std::string& key, std::uint64_t knownRevision, Milliseconds wait, Duration timeout, GetCallback)
        = 0;
    /** Writes if the current revision is the expected one (0: the key must not exist); returns the new revision. */
    virtual void compareAndSwap(const std::string& key, std::uint64_t expectedRevision, const std::string& value,
        Duration timeout, WriteCallback)
        = 0;
    /** Deletes if the current revision is the expected one; returns the revision of the deletion. */
    virtual void remove(const std::string& key, std::uint64_t expectedRevision, Duration timeout, WriteCallback) = 0;
    /** Lists the keys with a prefix. */
    virtual void list(const std::string& prefix, Duration timeout, ListCallback) = 0;
};

} // namespace almondlever
