#include "SessionMessages.h"

#include <algorithm>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    // Limits on data from a peer, well above what sessions produce.
    constexpr std::uint64_t maximumRank = 255;
    constexpr std::size_t maximumRows = 65536;
    constexpr std::size_t maximumValues = 1024;

    /** Upper limit of the encoded size of a message without its texts, rows and values. */
    constexpr std::size_t fixedBytes = 512;
    /** Upper limit of the bytes that precede a text, row or pair of texts. */
    constexpr std::size_t headerBytes = 5;

    std::size_t encodedBytes(const std::string& text) { return headerBytes + text.size(); }

    bool isName(const std::string& text) { return text.size() <= maximumNameBytes; }

    void writeValues(Json& map, const std::map<std::string, std::string>& values)
    {
        if (values.empty())
            return;
        Json& pairs = map["sv"] = Json::array();
        for (const auto& [name, value] : values)
            pairs.push_back(Json::array({ name, value }));
    }

    std::map<std::string, std::string> readValues(CborReader& reader)
    {
        std::map<std::string, std::string> values;
        for (const Json& pair : reader.array("sv", maximumValues)) {
            if (!pair.is_array() || pair.size() != 2 || !pair[0].is_string() || !pair[1].is_string()) {
                reader.fail("sv", "contains a malformed value");
                break;
            }
            values[pair[0].get<std::string>()] = pair[1].get<std::string>();
        }
        return values;
    }

} // namespace

void writeSessionMessage(Json& map, const SessionStatement& message)
{
    CborWriter writer(map);
    writer.number("c", message.correlation);
    writer.text("i", message.statement.id);
    writer.enumeration("k", message.statement.kind);
    writer.text("tt", message.statement.text);
    writer.text("n", message.statement.name);
    writer.text("a", message.statement.argument);
    writer.text("g", message.group);
    writer.text("cu", message.customer);
    // Ranks beyond the last one that the owner has are equal.
    writer.number("r", std::min<std::uint64_t>(message.rank, maximumRank));
    writer.milliseconds("d", message.timeLeft);
    writer.flag("w", message.isWrite);
    writer.flag("np", message.needsPrimary);
    writer.flag("ot", message.opensTransaction);
    writer.flag("ro", message.isReadOnlyTransaction);
    writer.milliseconds("ms", message.maximumStaleness);
    writer.position("sp", message.sessionPosition.value_or(LogPosition()));
    writeValues(map, message.contents.values);
    const auto prepared = message.contents.prepared.find(message.statement.name);
    if (prepared != message.contents.prepared.end()) {
        // Present even if it is empty: the receiver refuses to execute a statement that was not sent.
        map["ps"] = prepared->second.shape;
        writer.flag("pw", prepared->second.isWrite);
    }
    writer.number("tx", message.transaction);
}

SessionStatement readSessionStatement(CborReader& reader)
{
    SessionStatement message;
    message.correlation = reader.number("c");
    message.statement.id = reader.text("i", maximumNameBytes);
    message.statement.kind = reader.enumeration("k", StatementKind::Malformed);
    message.statement.text = reader.text("tt");
    message.statement.name = reader.text("n");
    message.statement.argument = reader.text("a");
    message.group = reader.identifier<GroupId>("g");
    message.customer = reader.identifier<CustomerId>("cu");
    message.rank = reader.number("r", maximumRank);
    message.timeLeft = reader.milliseconds("d");
    message.isWrite = reader.flag("w");
    message.needsPrimary = reader.flag("np");
    message.opensTransaction = reader.flag("ot");
    message.isReadOnlyTransaction = reader.flag("ro");
    message.maximumStaleness = reader.milliseconds("ms");
    if (reader.has("sp"))
        message.sessionPosition = readPosition(reader, "sp");
    message.contents.values = readValues(reader);
    if (reader.has("ps"))
        message.contents.prepared[message.statement.name] = { reader.flag("pw"), reader.text("ps") };
    if (message.statement.kind == StatementKind::Execute && !reader.has("ps"))
        reader.fail("ps", "is missing");
    message.transaction = reader.number("tx");
    return message;
}

void writeSessionMessage(Json& map, const SessionAnswer& message)
{
    CborWriter writer(map);
    writer.number("c", message.correlation);
    if (!message.reply.rows.empty())
        map["ro"] = message.reply.rows;
    if (message.reply.error)
        map["e"] = static_cast<unsigned>(*message.reply.error);
    writer.text("de", message.reply.detail);
    writer.enumeration("s", message.reply.state);
    writer.position("p", message.reply.position.value_or(LogPosition()));
    writer.number("tx", message.transaction);
    writer.text("en", message.endpoint);
    writer.number("at", message.attempts);
}

SessionAnswer readSessionAnswer(CborReader& reader)
{
    SessionAnswer message;
    message.correlation = reader.number("c");
    for (const Json& row : reader.array("ro", maximumRows)) {
        if (!row.is_string()) {
            reader.fail("ro", "contains a row that is not a string");
            break;
        }
        message.reply.rows.push_back(row.get<std::string>());
    }
    if (reader.has("e"))
        message.reply.error = reader.enumeration("e", StatementError::Unknown);
    message.reply.detail = reader.text("de");
    message.reply.state = reader.enumeration("s", TransactionState::Failed);
    if (reader.has("p"))
        message.reply.position = readPosition(reader, "p");
    message.transaction = reader.number("tx");
    message.endpoint = reader.identifier<EndpointId>("en");
    message.attempts = reader.number("at");
    return message;
}

void writeSessionMessage(Json& map, const SessionTransactionEnd& message)
{
    CborWriter(map).number("tx", message.transaction);
}

SessionTransactionEnd readSessionTransactionEnd(CborReader& reader) { return { reader.number("tx") }; }

void writeSessionMessage(Json& map, const SessionAbandon& message) { CborWriter(map).number("c", message.correlation); }

SessionAbandon readSessionAbandon(CborReader& reader) { return { reader.number("c") }; }

bool isForwardable(const SessionStatement& message)
{
    const Statement& statement = message.statement;
    // Former versions refuse longer ids.
    if (!isName(statement.id) || !isName(message.group.text()) || !isName(message.customer.text()))
        return false;
    if (message.contents.values.size() > maximumValues)
        return false;
    std::size_t bytes = fixedBytes + encodedBytes(statement.id) + encodedBytes(statement.text)
        + encodedBytes(statement.name) + encodedBytes(statement.argument) + encodedBytes(message.group.text())
        + encodedBytes(message.customer.text());
    for (const auto& [name, value] : message.contents.values)
        bytes += headerBytes + encodedBytes(name) + encodedBytes(value);
    const auto prepared = message.contents.prepared.find(statement.name);
    if (prepared != message.contents.prepared.end())
        bytes += encodedBytes(prepared->second.shape);
    return bytes <= maximumMessageBytes;
}

bool isForwardable(const SessionAnswer& message)
{
    const Reply& reply = message.reply;
    if (!isName(message.endpoint.text()) || reply.rows.size() > maximumRows)
        return false;
    std::size_t bytes = fixedBytes + encodedBytes(reply.detail) + encodedBytes(message.endpoint.text());
    for (const std::string& row : reply.rows)
        bytes += encodedBytes(row);
    return bytes <= maximumMessageBytes;
}

} // namespace almondlever
