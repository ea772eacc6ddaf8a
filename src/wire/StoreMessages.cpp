#include "StoreMessages.h"

#include "almondlever/wire/StoreItemPacking.h"

#include <cassert>
#define ZLIB_CONST
#include <zlib.h>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    // Limits on data from a peer, well above what a fleet of the design size needs.
    constexpr std::size_t maximumPrefixes = 16;
    constexpr std::size_t maximumItems = 65536;
    constexpr std::size_t itemFields = 4;

    /** Limit of the memory that a package of a peer takes. */
    constexpr std::size_t maximumUnpackedBytes = std::size_t { 32 } * 1024 * 1024;
    constexpr std::size_t unpackBufferBytes = std::size_t { 64 } * 1024;
    constexpr std::size_t headerLengthBytes = 4;
    /** For the routes of a configuration, the default level takes twice the time and saves a twentieth. */
    constexpr int compressionLevel = 3;

    Json encodeBytes(const std::string& bytes) { return Json::binary({ bytes.begin(), bytes.end() }); }

    Json encodeItems(const std::vector<StoreItem>& items)
    {
        Json encoded = Json::array();
        for (const StoreItem& item : items)
            encoded.push_back(Json::array({ item.key, encodeBytes(item.value), item.revision, item.isDeleted }));
        return encoded;
    }

    std::vector<StoreItem> decodeItems(CborReader& reader)
    {
        std::vector<StoreItem> items;
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
            items.push_back(std::move(item));
        }
        return items;
    }

    std::string compress(const std::string& bytes)
    {
        uLongf size = compressBound(bytes.size());
        std::string packed(size, '\0');
        const int status = ::compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), compressionLevel);
        assert(status == Z_OK);
        (void)status;
        packed.resize(size);
        return packed;
    }

    /** Returns nullopt for malformed input and for results above the limit. */
    std::optional<std::string> decompress(const std::string& packed)
    {
        z_stream stream {};
        if (inflateInit(&stream) != Z_OK)
            return std::nullopt;
        stream.next_in = reinterpret_cast<const Bytef*>(packed.data());
        stream.avail_in = static_cast<uInt>(packed.size());
        std::string bytes;
        std::vector<char> buffer(unpackBufferBytes);
        int status = Z_OK;
        while (status == Z_OK && bytes.size() <= maximumUnpackedBytes) {
            stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
            stream.avail_out = static_cast<uInt>(buffer.size());
            status = inflate(&stream, Z_NO_FLUSH);
            bytes.append(buffer.data(), buffer.size() - stream.avail_out);
        }
        inflateEnd(&stream);
        if (status != Z_STREAM_END || bytes.size() > maximumUnpackedBytes)
            return std::nullopt;
        return bytes;
    }

} // namespace

std::string packStoreItems(const std::vector<StoreItem>& items)
{
    Json encoded = Json::array();
    std::string values;
    for (const StoreItem& item : items) {
        encoded.push_back(Json::array({ item.key, item.value.size(), item.revision, item.isDeleted }));
        values += item.value;
    }
    std::string header;
    Json::to_cbor(Json { { "it", std::move(encoded) } }, header);
    std::string bytes;
    for (std::size_t shift = headerLengthBytes * 8; shift > 0; shift -= 8)
        bytes += static_cast<char>(header.size() >> (shift - 8) & 0xffU);
    return compress(bytes + header + values);
}

Result<std::vector<StoreItem>, std::string> unpackStoreItems(const std::string& packed)
{
    const std::optional<std::string> bytes = decompress(packed);
    if (!bytes || bytes->size() < headerLengthBytes)
        return std::string("the package cannot be decompressed");
    std::size_t headerLength = 0;
    for (std::size_t position = 0; position < headerLengthBytes; ++position)
        headerLength = headerLength << 8U | static_cast<unsigned char>((*bytes)[position]);
    if (headerLength > bytes->size() - headerLengthBytes)
        return std::string("the header of the package is malformed");
    const Json map = parseCbor(bytes->substr(headerLengthBytes, headerLength));
    if (!map.is_object())
        return std::string("the header of the package is no CBOR map");
    CborReader reader(map);
    std::vector<StoreItem> items;
    std::size_t position = headerLengthBytes + headerLength;
    for (const Json& entry : reader.array("it", maximumItems)) {
        const bool isValid = entry.is_array() && entry.size() == itemFields && entry[0].is_string()
            && entry[1].is_number_unsigned() && entry[2].is_number_unsigned() && entry[3].is_boolean();
        if (!isValid || entry[1].get<std::uint64_t>() > bytes->size() - position) {
            reader.fail("it", "contains a malformed item");
            break;
        }
        StoreItem item;
        item.key = entry[0].get<std::string>();
        item.value = bytes->substr(position, entry[1].get<std::uint64_t>());
        item.revision = entry[2].get<std::uint64_t>();
        item.isDeleted = entry[3].get<bool>();
        position += item.value.size();
        items.push_back(std::move(item));
    }
    if (!reader.firstError().empty())
        return reader.firstError();
    return items;
}

void writeStoreMessage(Json& map, const StoreUpdateRequest& message)
{
    Json& known = map["kn"] = Json::array();
    for (const StoreUpdateRequest::Known& entry : message.known)
        known.push_back(Json::array({ entry.prefix, entry.revision }));
    CborWriter writer(map);
    writer.number("nr", message.number);
    writer.flag("ap", message.acceptsPacked);
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
    message.acceptsPacked = reader.flag("ap");
    return message;
}

void writeStoreMessage(Json& map, const StoreUpdate& message)
{
    CborWriter writer(map);
    writer.text("px", message.prefix);
    writer.number("rv", message.revision);
    if (message.reportedRevision != message.revision)
        writer.number("rr", message.reportedRevision);
    writer.flag("sn", message.isSnapshot);
    writer.milliseconds("ag", message.age);
    writer.number("nr", message.number);
    // One is added, since zero is not written.
    if (message.proofAge)
        writer.milliseconds("pa", *message.proofAge + Milliseconds(1));
    if (message.packed) {
        writer.number("pi", message.packed->id);
        writer.number("pb", message.packed->bytes);
    }
    if (!message.items.empty())
        map["it"] = encodeItems(message.items);
}

StoreUpdate readStoreUpdate(CborReader& reader)
{
    StoreUpdate message;
    message.prefix = reader.text("px", maximumNameBytes);
    message.revision = reader.number("rv");
    message.reportedRevision = reader.has("rr") ? reader.number("rr", message.revision) : message.revision;
    message.isSnapshot = reader.flag("sn");
    message.age = reader.milliseconds("ag");
    message.number = reader.number("nr");
    if (reader.has("pa"))
        message.proofAge = reader.milliseconds("pa") - Milliseconds(1);
    if (reader.has("pb"))
        message.packed = PackedItems { reader.number("pi"), reader.number("pb", maximumUnpackedBytes) };
    message.items = decodeItems(reader);
    return message;
}

void writeStoreMessage(Json& map, const StorePartRequest& message)
{
    CborWriter writer(map);
    writer.number("pi", message.package);
    writer.number("of", message.offset);
}

StorePartRequest readStorePartRequest(CborReader& reader)
{
    StorePartRequest message;
    message.package = reader.number("pi");
    message.offset = reader.number("of");
    return message;
}

void writeStoreMessage(Json& map, const StorePart& message)
{
    CborWriter writer(map);
    writer.number("pi", message.package);
    writer.number("of", message.offset);
    if (!message.bytes.empty())
        map["by"] = encodeBytes(message.bytes);
}

StorePart readStorePart(CborReader& reader)
{
    StorePart message;
    message.package = reader.number("pi");
    message.offset = reader.number("of");
    message.bytes = reader.bytes("by");
    return message;
}

} // namespace almondlever
