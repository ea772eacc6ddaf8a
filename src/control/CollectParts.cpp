#include "CollectParts.h"

namespace almondlever {

namespace {

    class CollectOperation : public std::enable_shared_from_this<CollectOperation> {
    public:
        CollectOperation(StoreServices services, ConfigurationStore::CollectCallback callback)
            : services_(std::move(services))
            , callback_(std::move(callback))
        {
        }

        void start()
        {
            readKey(services_, configurationHeadKey, [self = shared_from_this()](const auto& result) {
                if (!result)
                    return self->callback_(describeFailure("cannot read the head", result.error()));
                if (!result.value())
                    return self->callback_(std::size_t { 0 });
                const auto head = decodeHead(result.value()->value);
                if (!head)
                    return self->callback_(
                        ConfigurationStoreError { ConfigurationStoreError::Code::Damaged, head.error() });
                self->listParts(head.value());
            });
        }

    private:
        void listParts(const ConfigurationHead& head)
        {
            callWithRetries<std::vector<std::string>>(
                services_,
                [services = services_](auto callback) {
                    services->keyValue.list(
                        configurationPartPrefix, services->settings.callTimeout, std::move(callback));
                },
                [self = shared_from_this(), head](const auto& result) {
                    if (!result)
                        return self->callback_(describeFailure("cannot list the parts", result.error()));
                    self->garbage_ = findGarbageParts(result.value(), head);
                    self->removeNext();
                });
        }

        void removeNext()
        {
            if (garbage_.empty())
                return callback_(removed_);
            const std::string key = garbage_.back();
            garbage_.pop_back();
            readKey(services_, key, [self = shared_from_this(), key](const auto& result) {
                if (!result || !result.value())
                    return self->removeNext();
                self->remove(key, result.value()->revision);
            });
        }

        void remove(const std::string& key, std::uint64_t revision)
        {
            services_->keyValue.remove(
                key, revision, services_->settings.callTimeout, [self = shared_from_this()](const auto& result) {
                    if (result)
                        ++self->removed_;
                    self->removeNext();
                });
        }

        StoreServices services_;
        ConfigurationStore::CollectCallback callback_;
        std::vector<std::string> garbage_;
        std::size_t removed_ = 0;
    };

} // namespace

void collectParts(const StoreServices& services, ConfigurationStore::CollectCallback callback)
{
    std::make_shared<CollectOperation>(services, std::move(callback))->start();
}

} // namespace almondlever
