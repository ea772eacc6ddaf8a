#pragma once

#include "almondlever/platform/KeyValueService.h"

#include <functional>
#include <map>
#include <utility>

namespace almondlever {

/** A key-value service in memory that answers at once and can be told to fail. */
class FakeKeyValueService final : public KeyValueService {
public:
    enum class Fault {
        None,
        /** A change takes effect but gets no answer. */
        LoseAnswer,
        /** Nothing takes effect and there is no answer. */
        LoseRequest,
        /** There is no answer, and the change takes effect when runDelayed is called. */
        DelayRequest,
        RefuseByRate,
        NotSent,
    };

    /** Chooses the fault of a call by its operation ("get", "cas", "delete", "list") and key. */
    std::function<Fault(const std::string& operation, const std::string& key)> chooseFault;

    /** Carries out the requests that were delayed. */
    void runDelayed()
    {
        for (const auto& request : std::exchange(delayed_, {}))
            request();
    }

    std::map<std::string, VersionedValue>& values() { return values_; }
    std::size_t calls(const std::string& operation) { return calls_[operation]; }

    void get(const std::string& key, Duration /*timeout*/, GetCallback callback) override
    {
        answer<std::optional<VersionedValue>>(
            "get", key, [this, key] { return find(key); }, callback);
    }

    void watch(const std::string& key, std::uint64_t /*knownRevision*/, Milliseconds /*wait*/, Duration timeout,
        GetCallback callback) override
    {
        get(key, timeout, std::move(callback));
    }

    void compareAndSwap(const std::string& key, std::uint64_t expectedRevision, const std::string& value,
        Duration /*timeout*/, WriteCallback callback) override
    {
        answer<std::uint64_t>(
            "cas", key, [=] { return swap(key, expectedRevision, value); }, callback);
    }

    void remove(
        const std::string& key, std::uint64_t expectedRevision, Duration /*timeout*/, WriteCallback callback) override
    {
        answer<std::uint64_t>(
            "delete", key, [=] { return erase(key, expectedRevision); }, callback);
    }

    void list(const std::string& prefix, Duration /*timeout*/, ListCallback callback) override
    {
        answer<std::vector<std::string>>(
            "list", prefix, [this, prefix] { return keysWith(prefix); }, callback);
    }

private:
    template <typename Value>
    void answer(const std::string& operation, const std::string& key,
        const std::function<KeyValueResult<Value>()>& carryOut,
        const std::function<void(KeyValueResult<Value>)>& callback)
    {
        ++calls_[operation];
        // Copied, since the function may replace itself while it runs.
        const auto choose = chooseFault;
        switch (choose ? choose(operation, key) : Fault::None) {
        case Fault::None:
            return callback(carryOut());
        case Fault::LoseAnswer:
            static_cast<void>(carryOut());
            break;
        case Fault::LoseRequest:
            break;
        case Fault::DelayRequest:
            delayed_.push_back([carryOut] { static_cast<void>(carryOut()); });
            break;
        case Fault::RefuseByRate:
            return callback(KeyValueError { KeyValueError::Code::RateLimited, "call rate exceeded", 0 });
        case Fault::NotSent:
            return callback(KeyValueError { KeyValueError::Code::NotSent, "connection refused", 0 });
        }
        callback(KeyValueError { KeyValueError::Code::NoAnswer, "no answer", 0 });
    }

    KeyValueResult<std::optional<VersionedValue>> find(const std::string& key) const
    {
        const auto found = values_.find(key);
        return found == values_.end() ? std::optional<VersionedValue>() : found->second;
    }

    KeyValueError conflict(const std::string& key) const
    {
        const auto found = values_.find(key);
        return { KeyValueError::Code::Conflict, "other revision", found == values_.end() ? 0 : found->second.revision };
    }

    bool hasRevision(const std::string& key, std::uint64_t revision) const
    {
        const auto found = values_.find(key);
        return (found == values_.end() ? 0 : found->second.revision) == revision;
    }

    KeyValueResult<std::uint64_t> swap(const std::string& key, std::uint64_t expected, const std::string& value)
    {
        if (value.size() > maximumKeyValueBytes)
            return KeyValueError { KeyValueError::Code::Rejected, "too large", 0 };
        if (!hasRevision(key, expected))
            return conflict(key);
        values_[key] = { value, ++revision_ };
        return revision_;
    }

    KeyValueResult<std::uint64_t> erase(const std::string& key, std::uint64_t expected)
    {
        if (expected == 0 || !hasRevision(key, expected))
            return conflict(key);
        values_.erase(key);
        return ++revision_;
    }

    KeyValueResult<std::vector<std::string>> keysWith(const std::string& prefix) const
    {
        std::vector<std::string> keys;
        for (const auto& [key, value] : values_) {
            if (key.compare(0, prefix.size(), prefix) == 0)
                keys.push_back(key);
        }
        return keys;
    }

    std::map<std::string, VersionedValue> values_;
    std::map<std::string, std::size_t> calls_;
    std::vector<std::function<void()>> delayed_;
    std::uint64_t revision_ = 0;
};

} // namespace almondlever
