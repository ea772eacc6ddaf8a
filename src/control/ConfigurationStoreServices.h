#pragma once

#include "almondlever/control/ConfigurationStore.h"

namespace almondlever {

/** Dependencies of the store's operations, shared by all that are in progress. */
struct ConfigurationStoreServices {
    KeyValueService& keyValue;
    ConfigurationStore::RunLater runLater;
    ConfigurationStoreSettings settings;
};

using StoreServices = std::shared_ptr<const ConfigurationStoreServices>;

/** True for errors after which a retry of the same call may succeed. */
inline bool isTransient(const KeyValueError& error)
{
    return error.code == KeyValueError::Code::NoAnswer || error.code == KeyValueError::Code::RateLimited
        || error.code == KeyValueError::Code::NotSent;
}

/** Delay before the given attempt, counted from 2. */
inline Duration retryDelay(const ConfigurationStoreSettings& settings, unsigned attempt)
{
    return settings.firstRetryDelay * (1U << (attempt - 2));
}

/** Error for a failed step that changed nothing visible to readers. */
inline ConfigurationStoreError describeFailure(const std::string& step, const KeyValueError& error)
{
    const auto code
        = isTransient(error) ? ConfigurationStoreError::Code::Unreachable : ConfigurationStoreError::Code::Refused;
    return { code, step + ": " + error.detail };
}

/** A call that is safe to retry: a read, or a write that expects a revision. */
template <typename Value> using RepeatableCall = std::function<void(std::function<void(KeyValueResult<Value>)>)>;

/** Retries a call with exponential backoff until it succeeds, fails permanently or runs out of attempts. */
template <typename Value>
void callWithRetries(const StoreServices& services, const RepeatableCall<Value>& call,
    const std::function<void(KeyValueResult<Value>)>& done, unsigned attempt = 1)
{
    call([services, call, done, attempt](KeyValueResult<Value> result) {
        const bool isRepeated = !result && isTransient(result.error()) && attempt < services->settings.maximumAttempts;
        if (!isRepeated)
            return done(std::move(result));
        services->runLater(retryDelay(services->settings, attempt + 1),
            [services, call, done, attempt] { callWithRetries(services, call, done, attempt + 1); });
    });
}

/** Reads a key, with retries. */
inline void readKey(const StoreServices& services, const std::string& key,
    const std::function<void(KeyValueResult<std::optional<VersionedValue>>)>& done)
{
    callWithRetries<std::optional<VersionedValue>>(
        services,
        [services, key](
            auto callback) { services->keyValue.get(key, services->settings.callTimeout, std::move(callback)); },
        done);
}

} // namespace almondlever
