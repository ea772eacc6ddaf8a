#include "StoreMessages.h"

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    // Limits on data from a peer, well above what a fleet of the design size needs.
    constexpr std::size_t maximumPrefixes = 16;
    constexpr std::size_t maximumItems = 65536;
    constexpr std::size_t itemFields = 4;

    Json encodeBytes(const std::string& bytes) { return Json::binary({ bytes.begin(), bytes.end() }); }

} // namespace

void writeStoreMessage(Json& map, const StoreUpdateRequest& message)
{
    Json& known = map["kn"] = Json::array();
    for (const StoreUpdateRequest::Known& entry : message.known)
        known.push_back(Json::array({ entry.prefix, entry.revision }));
    CborWriter(map).number("nr", message.number);
}

StoreUpdateRequest readStoreUpdateRequest(CborReader& reader)
{
    StoreUpdateRequest message;
    for (const Json& entry : reader.array("kn", maximumPrefixes)) {
        if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() || !entry[1].is_number_unsigned()) {
            reader.fail("kn", "contains a malformed entry");
            break;
        }
        message.known.push_back({ entry[0].get<std::string>(), entry[1].get<std::uint64_t>() });
    }
    message.number = reader.number("nr");
    return message;
}

void writeStoreMessage(Json& map, const StoreUpdate& message)
{
    CborWriter writer(map);
    writer.text("px", message.prefix);
    writer.number("rv", message.revision);
    writer.flag("sn", message.isSnapshot);
    writer.milliseconds("ag", message.age);
    writer.number("nr", message.number);
    // One is added, since zero is not written.
    if (message.proofAge)
        writer.milliseconds("pa", *message.proofAge + Milliseconds(1));
    if (message.items.empty())
        return;
    Json& items = map["it"] = Json::array();
    for (const StoreItem& item : message.items)
        items.push_back(Json::array({ item.key, encodeBytes(item.value), item.revision, item.isDeleted }));
}

StoreUpdate readStoreUpdate(CborReader& reader)
{
    StoreUpdate message;
    message.prefix = reader.text("px", maximumNameBytes);
    message.revision = reader.number("rv");
    message.isSnapshot = reader.flag("sn");
    message.age = reader.milliseconds("ag");
    message.number = reader.number("nr");
    if (reader.has("pa"))
        message.proofAge = reader.milliseconds("pa") - Milliseconds(1);
    for (const Json& entry : reader.array("it", maximumItems)) {
        const bool isValid = entry.is_array() && entry.size() == itemFields && entry[0].is_string()
            && entry[1].is_binary() && entry[2].is_number_unsigned() && entry[3].is_boolean();
        if (!isValid) {
            reader.fail("it", "contains a malformed item");
            break;
        }
        StoreItem item;
        item.key = entry[0].get<std::string>();
        const auto& bytes = entry[1].get_binary();
        item.value.assign(bytes.begin(), bytes.end());
        item.revision = entry[2].get<std::uint64_t>();
        item.isDeleted = entry[3].get<bool>();
        message.items.push_back(std::move(item));
    }
    return message;
}

} // namespace almondlever
