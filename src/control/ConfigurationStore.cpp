#include "almondlever/control/ConfigurationStore.h"

#include "ApplyConfiguration.h"
#include "CollectParts.h"
#include "ConfigurationStoreServices.h"
#include "ReadConfiguration.h"
#include "almondlever/config/ConfigurationCodec.h"

namespace almondlever {

ConfigurationStore::ConfigurationStore(
    KeyValueService& keyValue, RunLater runLater, ConfigurationStoreSettings settings)
    : services_(std::make_shared<const ConfigurationStoreServices>(
        ConfigurationStoreServices { keyValue, std::move(runLater), settings }))
{
}

void ConfigurationStore::readNewest(ReadCallback callback) { readConfiguration(services_, std::move(callback)); }

void ConfigurationStore::awaitChange(std::uint64_t knownRevision, Milliseconds wait, ReadCallback callback)
{
    services_->keyValue.watch(configurationHeadKey, knownRevision, wait, wait + services_->settings.callTimeout,
        [services = services_, knownRevision, callback = std::move(callback)](const auto& result) {
            if (!result)
                return callback(describeFailure("cannot watch the head", result.error()));
            const std::optional<VersionedValue>& head = result.value();
            if (!head || head->revision == knownRevision)
                return callback(std::optional<StoredConfiguration>());
            readConfigurationFrom(services, *head, callback);
        });
}

void ConfigurationStore::apply(const Configuration& configuration, const std::optional<StoredConfiguration>& base,
    const ApplyDetails& details, ApplyCallback callback)
{
    const std::optional<ConfigurationHead> head = base ? std::optional<ConfigurationHead>(base->head) : std::nullopt;
    applyRelease(services_, prepareRelease(encodeConfiguration(configuration), head, details),
        base ? base->headRevision : 0, std::move(callback));
}

void ConfigurationStore::collectGarbage(CollectCallback callback) { collectParts(services_, std::move(callback)); }

} // namespace almondlever
