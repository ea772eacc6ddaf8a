#include "ReadConfiguration.h"

#include "almondlever/config/ConfigurationCodec.h"

namespace almondlever {

namespace {

    /** Reads of the head after which missing or wrong parts count as damage, not as a race with their deletion. */
    constexpr unsigned maximumHeadReads = 3;

    class ReadOperation : public std::enable_shared_from_this<ReadOperation> {
    public:
        ReadOperation(StoreServices services, ConfigurationStore::ReadCallback callback)
            : services_(std::move(services))
            , callback_(std::move(callback))
        {
        }

        void start()
        {
            ++headReads_;
            readKey(services_, configurationHeadKey, [self = shared_from_this()](const auto& result) {
                if (!result)
                    return self->callback_(describeFailure("cannot read the head", result.error()));
                if (!result.value())
                    return self->callback_(std::optional<StoredConfiguration>());
                self->useHead(*result.value());
            });
        }

        void useHead(const VersionedValue& value)
        {
            const auto head = decodeHead(value.value);
            if (!head)
                return fail(head.error());
            stored_.head = head.value();
            stored_.headRevision = value.revision;
            contents_.clear();
            readNextPart();
        }

    private:
        void readNextPart()
        {
            const std::vector<PartReference>& parts = stored_.head.current.parts;
            if (contents_.size() == parts.size())
                return finish();
            const std::string key = parts[contents_.size()].key();
            readKey(services_, key, [self = shared_from_this(), key](const auto& result) {
                if (!result)
                    return self->callback_(describeFailure("cannot read part " + key, result.error()));
                if (!result.value())
                    return self->restartOrFail("part " + key + " is missing");
                self->contents_.push_back(result.value()->value);
                self->readNextPart();
            });
        }

        void finish()
        {
            const auto bytes = joinParts(stored_.head.current.parts, contents_);
            if (!bytes)
                return restartOrFail(bytes.error().detail);
            const auto configuration = decodeConfiguration(bytes.value(), stored_.head.current.version);
            if (!configuration)
                return fail(configuration.error());
            stored_.configuration = configuration.value();
            stored_.bytes = bytes.value();
            callback_(std::optional<StoredConfiguration>(std::move(stored_)));
        }

        void restartOrFail(const std::string& detail)
        {
            if (headReads_ >= maximumHeadReads)
                return fail(detail);
            start();
        }

        void fail(const std::string& detail)
        {
            callback_(ConfigurationStoreError { ConfigurationStoreError::Code::Damaged, detail });
        }

        StoreServices services_;
        ConfigurationStore::ReadCallback callback_;
        StoredConfiguration stored_;
        std::vector<std::string> contents_;
        unsigned headReads_ = 0;
    };

} // namespace

void readConfiguration(const StoreServices& services, ConfigurationStore::ReadCallback callback)
{
    std::make_shared<ReadOperation>(services, std::move(callback))->start();
}

void readConfigurationFrom(
    const StoreServices& services, const VersionedValue& head, ConfigurationStore::ReadCallback callback)
{
    std::make_shared<ReadOperation>(services, std::move(callback))->useHead(head);
}

} // namespace almondlever
