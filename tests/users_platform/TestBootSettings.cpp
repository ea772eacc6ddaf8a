#include "platform/BootSettings.h"

#include <criterion/criterion.h>
#include <fstream>
#include <sstream>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

std::string sampleSettings()
{
    std::ifstream file(std::string(ALMONDLEVER_SOURCE_DIR) + "/tests/users_platform/boot.json");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against keys that are accepted for too long after their withdrawal, and against limits that are judged by
// other windows than the platform's.
Test(BootSettings, decodesBoundsOfCustomers)
{
    const auto without = decodeBootSettings(sampleSettings(), "boot.json");
    cr_assert(without.value().keyWithdrawalLimit == Milliseconds(0));
    cr_assert(without.value().quotaWindow == Milliseconds(0));
    const std::string text = replaced(sampleSettings(), "\"bounds\": {",
        R"("bounds": {"revoke-partitioned": true, "revoke-ms": 5000, "quota-window-s": 5, "quota-overage": 0.1, "quota-slack": 20, )");
    const auto with = decodeBootSettings(text, "boot.json");
    cr_assert(with.hasValue());
    cr_assert(with.value().keyWithdrawalLimit == Milliseconds(5000));
    cr_assert(with.value().quotaWindow == Milliseconds(5000));
    cr_assert_float_eq(with.value().quotaOverage, 0.1, 1e-9);
    cr_assert_float_eq(with.value().quotaSlack, 20, 1e-9);
}

// Guards against a feature that is enabled where the deployment does not ask for it, or not enabled where it does.
Test(BootSettings, decodesFeaturesAndResources)
{
    const BootSettings without = decodeBootSettings(sampleSettings(), "boot.json").value();
    cr_assert(!without.features.hasUnreliableEndpoints);
    cr_assert(!without.features.hasScarceConnections);
    cr_assert(!without.features.hasOverload);
    cr_assert_eq(without.memoryBytes, 260000000U);
    const std::string text
        = replaced(sampleSettings(), "\"bounds\": {", R"("contracts": ["base", "health", "pressure"], "bounds": {)");
    const BootSettings with = decodeBootSettings(text, "boot.json").value();
    cr_assert(with.features.hasUnreliableEndpoints);
    cr_assert(with.features.hasOverload);
    cr_assert(!with.features.hasScarceConnections);
    const std::string wrong = replaced(sampleSettings(), "\"bounds\": {", R"("contracts": "health", "bounds": {)");
    cr_assert(!decodeBootSettings(wrong, "boot.json"));
}

// Guards against a setting being read from the wrong member of the file.
Test(BootSettings, decodesAllSettings)
{
    const auto result = decodeBootSettings(sampleSettings(), "boot.json");
    cr_assert(result.hasValue());
    const BootSettings& settings = result.value();
    cr_assert(settings.vm == VmId("front-khomas-a-1"));
    cr_assert(settings.failureDomain == FailureDomainId("khomas-a"));
    cr_assert(settings.callerAddress == HttpAddress({ "10.1.0.8", 8784 }));
    cr_assert(settings.readinessAddress == HttpAddress({ "10.1.0.8", 8785 }));
    cr_assert(settings.storeAddress == HttpAddress({ "10.200.1.7", 8783 }));
    cr_assert(settings.promotionAddress == HttpAddress({ "10.200.0.160", 8783 }));
    cr_assert(settings.peerListenAddress == HttpAddress({ "10.1.0.8", 7440 }));
    cr_assert(settings.drainPeriod == Milliseconds(7000));
    cr_assert(settings.stopGracePeriod == Milliseconds(6000));
    cr_assert_eq(settings.maximumDescriptors, 4200U);
    cr_assert_eq(settings.capacity, 25U);
    cr_assert(settings.isFirstStart);
    cr_assert(!decodeBootSettings(replaced(sampleSettings(), "true", "false"), "boot.json").value().isFirstStart);
}

// Guards against reporting only the first of several findings, and against a crash on a truncated file.
Test(BootSettings, reportsAllFindingsTogether)
{
    std::string text = replaced(sampleSettings(), "\"zone\": \"khomas-a\"", "\"zone\": 5");
    text = replaced(text, "\"drain-ms\": 7000", "\"drain-ms\": \"soon\"");
    text = replaced(text, "10.200.1.7:8783", "10.200.1.7");
    const auto result = decodeBootSettings(text, "boot.json");
    cr_assert(!result.hasValue());
    cr_assert_eq(result.error().size(), 3U);
    cr_assert(!decodeBootSettings(sampleSettings().substr(0, 200), "boot.json").hasValue());
    cr_assert(!decodeBootSettings("[]", "boot.json").hasValue());
    cr_assert(!readBootSettings("/does/not/exist").hasValue());
}

// Guards against rejecting a file that has unknown fields.
Test(BootSettings, ignoresUnknownFields)
{
    cr_assert(
        decodeBootSettings(replaced(sampleSettings(), "\"entry\": \"vip\"", "\"new\": {\"a\": [1]}"), "x").hasValue());
}

// Guards against limits on callers that exceed the VM, and against stated ones that are ignored or out of range.
Test(BootSettings, decodesLimitsOnCallers)
{
    const BootSettings derived = decodeBootSettings(sampleSettings(), "boot.json").value();
    cr_assert_eq(derived.limits.callerDescriptors, 3500U);
    cr_assert_lt(derived.limits.largeStatementBytes, derived.memoryBytes / 2);
    const std::string text = replaced(sampleSettings(), "\"bounds\": {",
        R"("caller-limits": {"connections": 900, "startup-timeout-ms": 3000, "pipelined-statements": 8}, "bounds": {)");
    const BootSettings stated = decodeBootSettings(text, "boot.json").value();
    cr_assert_eq(stated.limits.callerDescriptors, 900U);
    cr_assert(stated.limits.startupTimeout == Milliseconds(3000));
    cr_assert_eq(stated.limits.pipelinedStatements, 8U);
    cr_assert_eq(stated.limits.largeStatementBytes, derived.limits.largeStatementBytes);
    for (const char* invalid : { R"("startup-timeout-ms": 10)", R"("large-statements-bytes": 1000)",
             R"("pipelined-statements": 65)", R"("progress-period-ms": "long")" }) {
        const auto rejected
            = decodeBootSettings(replaced(sampleSettings(), "\"bounds\": {",
                                     std::string("\"caller-limits\": {") + invalid + "}, \"bounds\": {"),
                "boot.json");
        cr_assert(!rejected.hasValue(), "%s", invalid);
    }
}
