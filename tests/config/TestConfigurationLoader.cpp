#include "ExampleFiles.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** Replaces the first occurrence; the text must occur. */
std::string replaced(std::string text, const std::string& old, const std::string& with)
{
    const auto place = text.find(old);
    cr_assert(place != std::string::npos, "'%s' does not occur", old.c_str());
    return text.replace(place, old.size(), with);
}

Findings findingsOf(const std::string& inventory, const std::string& rules)
{
    const auto loaded = loadConfiguration({ "inventory.yaml", inventory }, { "rules.yaml", rules });
    return loaded ? Findings {} : loaded.error();
}

const std::string& inventoryText()
{
    static const std::string text = readExampleFile("kavango", "inventory.yaml").text;
    return text;
}

const std::string& rulesText()
{
    static const std::string text = readExampleFile("kavango", "rules.yaml").text;
    return text;
}

void expectFinding(const Findings& findings, const std::string& line)
{
    for (const Finding& finding : findings) {
        if (describe(finding) == line)
            return;
    }
    std::string all;
    for (const Finding& finding : findings)
        all += "\n  " + describe(finding);
    cr_assert(false, "expected '%s', found:%s", line.c_str(), all.c_str());
}

/** One changed text and the finding that it must cause, which must be the only one. */
struct Fault {
    const char* old;
    const char* with;
    const char* finding;
};

void expectOnly(const Findings& findings, const Fault& fault)
{
    expectFinding(findings, fault.finding);
    cr_assert(findings.size() == 1, "'%s' caused %zu findings", fault.with, findings.size());
}

} // namespace

// Guards against published examples that are rejected or loaded with different values.
Test(ConfigurationLoader, loadsTheExamples)
{
    const auto kavango = loadExample("kavango");
    cr_assert(kavango.hasValue());
    cr_assert(kavango.value().databases.size() == 3);
    cr_assert(kavango.value().callers[0].id == CallerId("buyers"));
    cr_assert(kavango.value().callers[0].rank == 2);
    cr_assert(kavango.value().callers[0].maxStaleness == Milliseconds(5000));
    cr_assert(kavango.value().ranks[0].floor == 0.6);
    cr_assert(kavango.value().ranks[0].queueBytes == 4 * 1024 * 1024);
    cr_assert(kavango.value().databases[0].endpoints[0].openTime == Milliseconds(10));
    const auto limmidasmidjan = loadExample("limmidasmidjan");
    cr_assert(limmidasmidjan.hasValue());
    cr_assert(limmidasmidjan.value().databases[0].endpoints[0].connections == 40);
}

// Guards against a loader that stops at the first error, so that the operator would need five attempts.
Test(ConfigurationLoader, reportsAllPlantedErrorsWithLocations)
{
    const auto loaded = loadExample("planted-errors");
    cr_assert(!loaded.hasValue());
    const Findings& findings = loaded.error();
    expectFinding(findings,
        "inventory.yaml:26:18: address '127.0.0.1:21001' is already used in line 18; give each endpoint its own "
        "address");
    expectFinding(findings, "inventory.yaml:51:9: endpoint has the unknown key 'slot'; did you mean 'slots'?");
    expectFinding(findings,
        "inventory.yaml:77:20: 'open_time' is '10'; write a whole number with a unit of ms, s, min or h, for example "
        "500ms or 2s");
    expectFinding(findings, "rules.yaml:15:12: the floors of all ranks sum to 110%; lower them to at most 100% in all");
    expectFinding(findings,
        "rules.yaml:33:11: caller 'buyer' is not in the inventory; add it to the callers of the inventory, or remove "
        "its "
        "rules");
    // The misspelled caller name also leaves the caller of the inventory without rules.
    expectFinding(findings,
        "inventory.yaml:91:11: caller 'buyers' has no rules; add it to the callers of the rules, or remove it here");
    cr_assert(findings.size() == 6);
}

// Checks that each error in the inventory is found at its location and causes no secondary findings.
Test(ConfigurationLoader, findsFaultsOfTheInventory)
{
    const std::vector<Fault> faults {
        { "slots: 5", "slots: five", "inventory.yaml:19:16: 'slots' is 'five'; write a whole number from 1 to 10000" },
        { "slots: 5", "slots: 0", "inventory.yaml:19:16: 'slots' is '0'; write a whole number from 1 to 10000" },
        { "slots: 5", "slots: [5]", "inventory.yaml:19:16: 'slots' is a list; write a whole number from 1 to 10000" },
        { "slots: 5\n", "slots: 5\n        slots: 5\n",
            "inventory.yaml:20:9: endpoint has the key 'slots' twice; remove one of them" },
        { "        slots: 5\n", "", "inventory.yaml:15:9: endpoint lacks the key 'slots'; add 'slots:' here" },
        { "connections: 35", "connections: 13",
            "inventory.yaml:20:22: 13 connections cannot serve 5 slots, since 9 are kept for control; allow at least "
            "14 "
            "connections, or state fewer slots" },
        { "open_time: 10ms", "open_time: 10 minutes",
            "inventory.yaml:21:20: 'open_time' is '10 minutes'; write a whole number with a unit of ms, s, min or h, "
            "for "
            "example 500ms or 2s" },
        { "127.0.0.1:21001", "localhost:21001",
            "inventory.yaml:18:18: 'address' is not an IP number with a port; write it as ip:port, for example "
            "10.0.0.7:5432" },
        { "127.0.0.1:21001", "127.0.0.1:70000",
            "inventory.yaml:18:18: 'address' is not an IP number with a port; write it as ip:port, for example "
            "10.0.0.7:5432" },
        { "failure_domain: khomas-a", "failure_domain: khomsa-a",
            "inventory.yaml:17:25: failure domain 'khomsa-a' is not listed; did you mean 'khomas-a'?" },
        { "failure_domain: khomas-a", "failure_domain: kavango-a",
            "inventory.yaml:13:5: database 'lots' has 2 of its 3 endpoints in failure domain 'kavango-a'; place at "
            "most 1 "
            "there, so that a majority is left when it fails" },
        { "name: lots-kavango", "name: lots-khomas",
            "inventory.yaml:22:15: endpoint 'lots-khomas' is already used in line 15; give each its own name, also "
            "across "
            "databases" },
        { "name: kavango-a\n    region: kavango",
            "name: kavango-a\n    region: kavango\n  - name: kavango-a\n    region: "
            "kavango",
            "inventory.yaml:9:11: failure domain 'kavango-a' is already used in line 7; give each its own name" },
        { "[lots, moisture, grades]", "[lots, moistrue, grades]",
            "inventory.yaml:85:23: database 'moistrue' is not listed; did you mean 'moisture'?" },
        { "[lots, moisture, grades]", "[lots, lots, grades]",
            "inventory.yaml:85:23: database 'lots' is already used in line 85; list each database of a caller once" },
        { "[lots, moisture, grades]", "[]",
            "inventory.yaml:85:16: 'databases' is a list; write a list with at least one element, each on a line of "
            "its "
            "own that begins with '- '" },
        { "deployment: kavango-pod-analytics", "deployment: kavango pod",
            "inventory.yaml:2:13: 'deployment' is 'kavango pod'; write a name of at most 64 letters, digits, '-', '_' "
            "and "
            "'.'" },
    };
    for (const Fault& fault : faults)
        expectOnly(findingsOf(replaced(inventoryText(), fault.old, fault.with), rulesText()), fault);
}

// Checks that each error in the rules is found at its location and causes no secondary findings.
Test(ConfigurationLoader, findsFaultsOfTheRules)
{
    const std::vector<Fault> faults {
        { "floor: 60%", "floor: 60",
            "rules.yaml:4:12: 'floor' is '60'; write a number from 0 to 100 with a per cent sign, for example 25%" },
        { "floor: 60%", "floor: -1%",
            "rules.yaml:4:12: 'floor' is '-1%'; write a number from 0 to 100 with a per cent sign, for example 25%" },
        { "floor: 60%", "floor: 70.1%",
            "rules.yaml:14:12: the floors of all ranks sum to 100.1%; lower them to at most 100% in all" },
        { "deadline: 1s", "deadline: 0s", "rules.yaml:5:15: 'deadline' is '0s'; write a value from 1ms to 24h" },
        { "queue_bytes: 4MiB", "queue_bytes: 4",
            "rules.yaml:7:18: 'queue_bytes' is '4'; write a whole number with a unit of B, KiB, MiB or GiB, for "
            "example "
            "4MiB" },
        { "read_your_writes: true", "read_your_writes: yes",
            "rules.yaml:23:23: 'read_your_writes' is 'yes'; write true or false" },
        { "  - name: sheds",
            "  - name: idle\n    floor: 0%\n    deadline: 1s\n    queue_requests: 1\n    queue_bytes: "
            "1KiB\n  - name: sheds",
            "rules.yaml:8:11: no caller uses rank 'idle'; give it to a caller, or remove it" },
        { "  - name: curing-sheds",
            "  - name: customs\n    rank: sheds\n    read_your_writes: true\n    max_staleness: "
            "1s\n  - name: curing-sheds",
            "rules.yaml:26:11: caller 'customs' is already used in line 21; give each caller one set of rules" },
        { "  - name: curing-sheds",
            "  - name: scales\n    rank: sheds\n    read_your_writes: true\n    max_staleness: "
            "1s\n  - name: curing-sheds",
            "rules.yaml:26:11: caller 'scales' is not in the inventory; add it to the callers of the inventory, or "
            "remove "
            "its rules" },
    };
    for (const Fault& fault : faults)
        expectOnly(findingsOf(inventoryText(), replaced(rulesText(), fault.old, fault.with)), fault);
}

// Guards against accepting a reference to an undefined rank or a caller without rules.
Test(ConfigurationLoader, findsReferencesWithoutTarget)
{
    expectFinding(findingsOf(inventoryText(), replaced(rulesText(), "rank: sheds", "rank: shed")),
        "rules.yaml:27:11: rank 'shed' is not listed; did you mean 'sheds'?");
    const std::string withoutBuyers = rulesText().substr(0, rulesText().find("  # Cure grades"));
    expectFinding(findingsOf(inventoryText(), withoutBuyers),
        "inventory.yaml:88:11: caller 'buyers' has no rules; add it to the callers of the rules, or remove it here");
}

// Guards against accepting groups with an even number of endpoints or fewer than three.
Test(ConfigurationLoader, findsGroupsWithoutSafeMajority)
{
    const std::string fourth
        = "      - name: lots-more\n        vm: m\n        failure_domain: erongo-a\n        address: "
          "127.0.0.1:9\n        slots: 5\n        connections: 35\n        open_time: 10ms\n";
    const std::string even = replaced(inventoryText(), "  - name: moisture\n", fourth + "  - name: moisture\n");
    expectFinding(findingsOf(even, rulesText()),
        "inventory.yaml:13:5: database 'lots' has an even number of endpoints (4); list 3 or 5: an even number "
        "tolerates "
        "no more failures than one fewer");
    const auto begin = inventoryText().find("      - name: lots-erongo");
    const auto end = inventoryText().find("  - name: moisture");
    const std::string two = inventoryText().substr(0, begin) + inventoryText().substr(end);
    expectFinding(findingsOf(two, rulesText()),
        "inventory.yaml:13:5: database 'lots' has 2 endpoint(s), too few for a majority after the loss of one; list an "
        "odd number of at least 3");
}

// Guards against a crash, an endless loop or acceptance of files that are not a map, not YAML, several documents or
// deeply nested or recursive.
Test(ConfigurationLoader, rejectsFilesOfOtherStructure)
{
    const std::vector<std::string> texts { "", "just text", "[1, 2]", "a: [", "\t- x", "--- {}\n--- {}\n", "&a [*a]",
        "databases: &a [*a]", "databases: [{name: &n x, endpoints: [*n]}]", "? [a, b]\n: c", std::string(5000, '['),
        "!!binary \"\\x\"", std::string("a\0b: c", 6), "deployment: \"\\uD800\"", ",3,.0",
        inventoryText() + ", trailing" };
    for (const std::string& text : texts) {
        cr_assert(!findingsOf(text, rulesText()).empty(), "accepted: %s", text.c_str());
        cr_assert(!findingsOf(inventoryText(), text).empty(), "accepted: %s", text.c_str());
    }
}

// Guards against syntax errors reported without a location.
Test(ConfigurationLoader, reportsLocationOfSyntaxErrors)
{
    const Findings findings = findingsOf("deployment: a\nfailure_domains: ]\n", rulesText());
    cr_assert(!findings.empty());
    cr_assert(findings[0].line == 2, "line %d", findings[0].line);
}
