#include "platform/HttpMetadataStore.h"
#include "platform/StoreInventory.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

const std::string entryText
    = R"({"service":"huvo","address":"10.1.0.9:80","zone":"khomas-a","version":"v1","slots":5,"phase":"ready",)"
      R"("cold-remaining-ms":0,"db-role":"replica","sequence":4,"born":1754000000123})";

const std::string configurationText
    = R"({"version":7,"routes":[{"name":"r1","database":"fiti","prefix":"/","type":"read_your_writes",)"
      R"("timeout-ms":1000,"target-latency-ms":900,"priority":1,"service":"huvo","max-attempts":2,)"
      R"("max-staleness-ms":2500},{"name":"r2","database":"lepu","prefix":"/","type":"primary","timeout-ms":1000,)"
      R"("target-latency-ms":500,"priority":0,"service":"huvo"}],"services":[{"name":"huvo","max-conns":34,)"
      R"("sync-replicas":1}],"limits":{"max-body-bytes":262144,"tx-idle-ms":3000}})";

StoreItem makeItem(const std::string& key, const std::string& value)
{
    StoreItem item;
    item.key = key;
    item.value = value;
    item.revision = 42;
    return item;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos);
    return text.replace(at, from.size(), to);
}

bool isValidEntry(const std::string& value)
{
    return StoreInventory().decodeEndpoint(makeItem("servers/i-1", value)).hasValue();
}

} // namespace

// Guards against decoding an endpoint's group, address or state wrongly.
Test(StoreInventory, decodesEntries)
{
    const auto result = StoreInventory().decodeEndpoint(makeItem("servers/i-7", entryText));
    cr_assert(result.hasValue());
    const EndpointEntry& entry = result.value();
    cr_assert(entry.id == EndpointId("i-7"));
    cr_assert(entry.group == GroupId("huvo"));
    cr_assert(!entry.isLeaving);
    cr_assert(!entry.reportsPrimary);
    cr_assert_eq(entry.startedAt.count(), 1754000000123);
    cr_assert_eq(entry.revision, 42U);
}

// Guards against sending work to an invalid entry of an unknown writer, and against a crash on undecodable bytes.
Test(StoreInventory, rejectsInvalidEntries)
{
    cr_assert(isValidEntry(entryText));
    cr_assert(!isValidEntry(""));
    cr_assert(!isValidEntry("\xff\xfe"));
    cr_assert(!isValidEntry("[]"));
    cr_assert(!isValidEntry(replaced(entryText, "\"ready\"", "\"resting\"")));
    cr_assert(!isValidEntry(replaced(entryText, "\"replica\"", "\"witness\"")));
    cr_assert(!isValidEntry(replaced(entryText, "\"slots\":5", "\"slots\":\"5\"")));
    cr_assert(!isValidEntry(replaced(entryText, "\"service\":\"huvo\",", "")));
    cr_assert(!isValidEntry(replaced(entryText, "1754000000123", "1.5")));
    cr_assert(isValidEntry(replaced(entryText, ",\"born\":1754000000123", "")));
}

// Guards against counting an entry that names no server as a member of its group, which blocks changes of its primary,
// and against a field that ends the line of a message to an endpoint.
Test(StoreInventory, rejectsFieldsOutOfRange)
{
    for (const char* address : { "10.1.0.9:99999", "10.1.0.9:0", "10.1.0.9", "10.1.0.9:-1", "10.1.0.300:80", ":80",
             "10.1.0.9:80 ", "10.1.0.9:8e1" })
        cr_assert(!isValidEntry(replaced(entryText, "10.1.0.9:80", address)), "%s", address);
    for (const char* slots : { "1e300", "1e999999", "-1", "5.5", "18446744073709551615", "99999999999999999999999" })
        cr_assert(!isValidEntry(replaced(entryText, "\"slots\":5", std::string("\"slots\":") + slots)), "%s", slots);
    for (const char* born : { "-1", "18446744073709551615", "9223372036854775807", "1e400", "\"1\"", "null" })
        cr_assert(!isValidEntry(replaced(entryText, "1754000000123", born)), "%s", born);
    for (const char* sequence : { "-4", "4.5", "\"4\"", "[4]" })
        cr_assert(!isValidEntry(replaced(entryText, "\"sequence\":4", std::string("\"sequence\":") + sequence)));
    for (const char* name : { "", "hu vo", "huvo\\r\\nQUERY 1 WRITE a b", "huvo\\u0000", "huvo\\u007f" }) {
        cr_assert(!isValidEntry(replaced(entryText, "huvo", name)), "%s", name);
        cr_assert(!isValidEntry(replaced(entryText, "khomas-a", name)), "%s", name);
    }
    cr_assert(!isValidEntry(replaced(entryText, "huvo", std::string(1000, 'x'))));
    for (const char* key : { "servers/", "servers/i 1", "servers/i\r\nQUERY", "other" })
        cr_assert(!StoreInventory().decodeEndpoint(makeItem(key, entryText)).hasValue(), "%s", key);
}

// Guards against a process that ends because of one deeply nested entry, and against a reason that quotes it whole.
Test(StoreInventory, rejectsDeeplyNestedEntries)
{
    constexpr std::size_t depth = 500000;
    constexpr std::size_t maximumReasonBytes = 300;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string open(depth, '[');
    std::string maps;
    for (std::size_t i = 0; i < depth / 10; ++i)
        maps += "{\"a\":";
    for (const std::string& value : { nested, open, maps, "{\"service\":" + nested + "}", "\"" + open }) {
        const auto entry = StoreInventory().decodeEndpoint(makeItem("servers/i-1", value));
        cr_assert(!entry.hasValue());
        cr_assert_leq(entry.error().size(), maximumReasonBytes);
        const auto configuration = StoreInventory().decodeConfiguration(makeItem("op/config", value));
        cr_assert(!configuration.hasValue());
        cr_assert_leq(configuration.error().size(), maximumReasonBytes);
    }
    cr_assert(isValidEntry(replaced(entryText, "\"v1\"", nested)), "fields that are not used do not matter");
}

// Guards against a duration beyond the range of the clock, and against a name that ends a line, in a configuration.
Test(StoreInventory, rejectsConfigurationFieldsOutOfRange)
{
    const auto isValid = [](const std::string& value) {
        return StoreInventory().decodeConfiguration(makeItem("op/config", value)).hasValue();
    };
    cr_assert(isValid(configurationText));
    for (const char* value : { "1e300", "-1", "1e999999", "\"3000\"", "99999999999999999999" })
        cr_assert(!isValid(replaced(configurationText, "\"tx-idle-ms\":3000", std::string("\"tx-idle-ms\":") + value)));
    cr_assert(!isValid(replaced(configurationText, "\"service\":\"huvo\"", "\"service\":\"hu\\r\\nvo\"")));
    cr_assert(!isValid(replaced(configurationText, "\"max-conns\":34", "\"max-conns\":-1")));
    cr_assert(!isValid(replaced(configurationText, "\"max-body-bytes\":262144", "\"max-body-bytes\":1e300")));
}

// Guards against assigning one route's rules to another.
Test(StoreInventory, decodesTheConfiguration)
{
    const auto result = StoreInventory().decodeConfiguration(makeItem("op/config", configurationText));
    cr_assert(result.hasValue());
    const RoutingConfiguration& configuration = result.value();
    cr_assert_eq(configuration.version, 7U);
    const Route& route = configuration.routes.at(DatabaseId("fiti"));
    cr_assert(route.readRule == ReadRule::ReadYourWrites);
    cr_assert(route.maximumStaleness == Milliseconds(2500));
    cr_assert(route.statementTimeout == Milliseconds(1000));
    cr_assert(route.targetLatency == Milliseconds(900));
    cr_assert(configuration.routes.at(DatabaseId("lepu")).readRule == ReadRule::Primary);
    cr_assert_eq(configuration.groups.at(GroupId("huvo")).maximumConnections, 34U);
    cr_assert_eq(configuration.groups.at(GroupId("huvo")).synchronousReplicas, 1U);
    cr_assert(configuration.transactionIdleLimit == Milliseconds(3000));
}

// Guards against applying part of an invalid configuration.
Test(StoreInventory, rejectsAnInvalidConfiguration)
{
    const StoreInventory inventory;
    cr_assert(!inventory.decodeConfiguration(makeItem("op/config", "{}")).hasValue());
    const std::string unknown = replaced(configurationText, "read_your_writes", "eventual");
    cr_assert(!inventory.decodeConfiguration(makeItem("op/config", unknown)).hasValue());
}

// Guards against decoding values wrongly, and against accepting malformed bodies.
Test(StoreInventory, decodesStorePages)
{
    const auto page = decodeStorePage(
        R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4,"created":4,"lease":7}],"truncated":true,"as-of":9})",
        false);
    cr_assert(page.hasValue());
    cr_assert_eq(page.value().items[0].value, "node-1");
    cr_assert_eq(page.value().items[0].lease, 7U);
    cr_assert(page.value().isTruncated);
    cr_assert_eq(page.value().asOf, 9U);
    const auto changes = decodeStorePage(R"({"events":[{"key":"b","revision":5,"deleted":true}],"as-of":5})", true);
    cr_assert(changes.value().items[0].isDeleted);
    cr_assert(!decodeStorePage(R"({"items":[{"key":"a"}],"as-of":1})", false).hasValue());
    cr_assert(!decodeStorePage("not json", false).hasValue());
    const auto odd = decodeStorePage(R"({"items":[{"key":"a","value":"?","revision":1}],"as-of":1})", false);
    cr_assert(!odd.hasValue());
}

// Guards against keys that are not accepted, against limits that are not applied, and against an error message that
// quotes a key.
Test(StoreInventory, decodesCustomersWithoutTheirKeys)
{
    const StoreInventory inventory;
    cr_assert(!inventory.decodeConfiguration(makeItem("op/config", configurationText)).value().customers,
        "callers need no key without customers");
    const std::string text = replaced(configurationText, "\"limits\"",
        R"("tenants":[{"name":"miny","api-keys":["secret-1","secret-2"],"priority":1,"rate-per-s":353,"burst":40}],"limits")");
    const auto result = inventory.decodeConfiguration(makeItem("op/config", text));
    cr_assert(result.hasValue());
    const CustomerRegistry& customers = *result.value().customers;
    cr_assert_eq(customers.findByKey(KeyDigest::of("secret-2"))->id.text(), "miny");
    cr_assert_eq(customers.find(CustomerId("miny"))->limit.operationsPerSecond, 353);
    cr_assert_eq(customers.find(CustomerId("miny"))->limit.burst, 40);
    for (const std::string& broken : { text + "x", text.substr(0, text.find("secret-2") + 4),
             replaced(text, "\"secret-2\"", "5"), replaced(text, "353", "\"secret-3\"") }) {
        const auto rejected = inventory.decodeConfiguration(makeItem("op/config", broken));
        cr_assert(!rejected.hasValue());
        cr_assert_eq(rejected.error().find("secret"), std::string::npos, "%s", rejected.error().c_str());
    }
}

// Guards against a customer's name that shifts the fields of the first message to an endpoint.
Test(StoreInventory, rejectsCustomerNamesThatAreNotWords)
{
    const auto isValid = [](const std::string& name) {
        const std::string text = replaced(configurationText, "\"limits\"",
            R"("tenants":[{"name":")" + name + R"(","api-keys":["secret-1"]}],"limits")");
        return StoreInventory().decodeConfiguration(makeItem("op/config", text)).hasValue();
    };
    cr_assert(isValid("miny"));
    for (const char* name : { "", "mi ny", "miny\\r\\nQUERY 1 WRITE a b", "miny\\u0000" })
        cr_assert(!isValid(name), "%s", name);
}
