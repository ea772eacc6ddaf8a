#include "ApplyConfiguration.h"

#include "ReadConfiguration.h"

namespace almondlever {

namespace {

    using Code = ConfigurationStoreError::Code;

    /** Writes the new parts one by one, then replaces the head by compare-and-swap ("switches" it). */
    class ApplyOperation : public std::enable_shared_from_this<ApplyOperation> {
    public:
        ApplyOperation(StoreServices services, PreparedRelease prepared, std::uint64_t expectedHeadRevision,
            ConfigurationStore::ApplyCallback callback)
            : services_(std::move(services))
            , prepared_(std::move(prepared))
            , expectedHeadRevision_(expectedHeadRevision)
            , callback_(std::move(callback))
        {
        }

        void start() { writeNextPart(); }

    private:
        void writeNextPart()
        {
            if (writtenParts_ == prepared_.newParts.size())
                return switchHead();
            const std::string key = prepared_.newParts[writtenParts_].reference.key();
            callWithRetries<std::uint64_t>(
                services_,
                [self = shared_from_this(), key](auto callback) {
                    const std::string& content = self->prepared_.newParts[self->writtenParts_].content;
                    self->services_->keyValue.compareAndSwap(
                        key, 0, content, self->services_->settings.callTimeout, std::move(callback));
                },
                [self = shared_from_this(), key](const auto& result) {
                    const bool exists = !result && result.error().code == KeyValueError::Code::Conflict;
                    if (exists)
                        return self->checkExistingPart(key);
                    if (!result)
                        return self->callback_(describeFailure("cannot write part " + key, result.error()));
                    self->finishPart();
                });
        }

        /** The part was written by an earlier attempt whose answer was lost or by another apply; its content must
         * match. */
        void checkExistingPart(const std::string& key)
        {
            readKey(services_, key, [self = shared_from_this(), key](const auto& result) {
                if (!result)
                    return self->callback_(describeFailure("cannot read part " + key, result.error()));
                const std::string& content = self->prepared_.newParts[self->writtenParts_].content;
                if (!result.value() || result.value()->value != content)
                    return self->fail(Code::Damaged, "part " + key + " exists with other content");
                self->finishPart();
            });
        }

        void finishPart()
        {
            ++writtenParts_;
            writeNextPart();
        }

        void switchHead()
        {
            ++switchAttempts_;
            services_->keyValue.compareAndSwap(configurationHeadKey, expectedHeadRevision_, encodeHead(prepared_.head),
                services_->settings.callTimeout, [self = shared_from_this()](const auto& result) {
                    if (result)
                        return self->callback_(ConfigurationApplied { self->version(), 0 });
                    self->handleSwitchError(result.error());
                });
        }

        void handleSwitchError(const KeyValueError& error)
        {
            lastError_ = error;
            switch (error.code) {
            case KeyValueError::Code::RateLimited:
            case KeyValueError::Code::NotSent:
                return retrySwitchOrFail();
            case KeyValueError::Code::Rejected:
                if (mayHaveTakenEffect_)
                    return readHead();
                return callback_(describeFailure("cannot switch the head", error));
            case KeyValueError::Code::NoAnswer:
                mayHaveTakenEffect_ = true;
                return readHead();
            case KeyValueError::Code::Conflict:
                return readHead();
            }
        }

        void retrySwitchOrFail()
        {
            if (switchAttempts_ < services_->settings.maximumAttempts)
                return services_->runLater(retryDelay(services_->settings, switchAttempts_ + 1),
                    [self = shared_from_this()] { self->switchHead(); });
            if (!mayHaveTakenEffect_)
                return callback_(describeFailure("cannot switch the head", lastError_));
            // An unanswered request may still be in flight and take effect later.
            fail(
                Code::OutcomeUnknown, "the head is unchanged so far, but a request without an answer may still arrive");
        }

        void readHead()
        {
            readKey(services_, configurationHeadKey, [self = shared_from_this()](const auto& result) {
                if (result)
                    return self->resolve(result.value());
                if (self->mayHaveTakenEffect_)
                    return self->fail(Code::OutcomeUnknown, "the head cannot be read: " + result.error().detail);
                self->callback_(ConfigurationConflict {});
            });
        }

        /** Determines from the head whether the switch took effect. */
        void resolve(const std::optional<VersionedValue>& value)
        {
            if ((value ? value->revision : 0) == expectedHeadRevision_)
                return retrySwitchOrFail();
            const auto head = value ? decodeHead(value->value) : Result<ConfigurationHead, std::string>("no head");
            const ConfigurationRelease* own = head ? head.value().findApply(prepared_.head.current.applyId) : nullptr;
            if (own) {
                const std::uint64_t newest = head.value().current.version;
                return callback_(ConfigurationApplied { own->version, newest == own->version ? 0 : newest });
            }
            // Another release has this version number, which proves that this apply did not take effect and never will.
            const bool cannotTakeEffect = head && head.value().findVersion(version());
            if (mayHaveTakenEffect_ && !cannotTakeEffect)
                return fail(Code::OutcomeUnknown, "the head no longer tells whether this apply took effect");
            reportConflict();
        }

        void reportConflict()
        {
            readConfiguration(services_, [self = shared_from_this()](const auto& result) {
                self->callback_(ConfigurationConflict { result ? result.value() : std::nullopt });
            });
        }

        std::uint64_t version() const { return prepared_.head.current.version; }

        void fail(Code code, const std::string& detail) { callback_(ConfigurationStoreError { code, detail }); }

        StoreServices services_;
        PreparedRelease prepared_;
        std::uint64_t expectedHeadRevision_;
        ConfigurationStore::ApplyCallback callback_;
        std::size_t writtenParts_ = 0;
        unsigned switchAttempts_ = 0;
        /** True once a switch of the head went unanswered. */
        bool mayHaveTakenEffect_ = false;
        KeyValueError lastError_;
    };

} // namespace

void applyRelease(const StoreServices& services, PreparedRelease prepared, std::uint64_t expectedHeadRevision,
    ConfigurationStore::ApplyCallback callback)
{
    std::make_shared<ApplyOperation>(services, std::move(prepared), expectedHeadRevision, std::move(callback))->start();
}

} // namespace almondlever
