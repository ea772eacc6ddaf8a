#include "almondlever/config/ConfigurationCodec.h"
#include "almondlever/control/ConfigurationStore.h"
#include "mocks/FakeKeyValueService.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace almondlever;

namespace {

using Fault = FakeKeyValueService::Fault;

constexpr WallTime start { std::chrono::hours(500000) };

Configuration namedConfiguration(const std::string& deployment)
{
    Configuration configuration;
    configuration.deployment = deployment;
    return configuration;
}

/** A store on the fake service; its retries run without delay. */
struct Fixture {
    FakeKeyValueService service;
    ConfigurationStore store { service, [](Duration, const std::function<void()>& run) { run(); } };
    unsigned applies = 0;

    Result<std::optional<StoredConfiguration>, ConfigurationStoreError> read()
    {
        std::vector<Result<std::optional<StoredConfiguration>, ConfigurationStoreError>> results;
        store.readNewest([&](auto result) { results.push_back(std::move(result)); });
        cr_assert(results.size() == 1, "callback called %zu times", results.size());
        return results.front();
    }

    ApplyResult apply(const std::string& deployment, const std::optional<StoredConfiguration>& base)
    {
        const ApplyDetails details { "apply-" + std::to_string(++applies), "operator", start };
        std::vector<ApplyResult> results;
        store.apply(namedConfiguration(deployment), base, details,
            [&](ApplyResult result) { results.push_back(std::move(result)); });
        cr_assert(results.size() == 1, "callback called %zu times", results.size());
        return results.front();
    }

    /** Replaces the stored configuration with fault injection switched off. */
    void applyWithoutFaults(const std::string& deployment)
    {
        const auto faults = std::exchange(service.chooseFault, nullptr);
        cr_assert(std::holds_alternative<ConfigurationApplied>(apply(deployment, read().value())));
        service.chooseFault = faults;
    }

    std::string storedDeployment()
    {
        service.chooseFault = nullptr;
        const auto stored = read();
        return stored && stored.value() ? stored.value()->configuration.deployment : "none";
    }

    /** Injects the fault into the n-th switch of the head, counted from 1, and runs an action before it. */
    void injectSwitchFault(unsigned number, Fault fault, std::function<void()> action = {})
    {
        auto seen = std::make_shared<unsigned>(0);
        service.chooseFault = [=](const std::string& operation, const std::string& key) {
            if (operation != "cas" || key != configurationHeadKey || ++*seen != number)
                return Fault::None;
            if (action)
                action();
            return fault;
        };
    }
};

bool isError(const ApplyResult& result, ConfigurationStoreError::Code code)
{
    const auto* error = std::get_if<ConfigurationStoreError>(&result);
    return error && error->code == code;
}

} // namespace

// Guards against versions that do not rise by one and against a configuration that differs from the applied one.
Test(ConfigurationStore, readsWhatWasApplied)
{
    Fixture fixture;
    cr_assert(!fixture.read().value().has_value());
    fixture.applyWithoutFaults("one");
    fixture.applyWithoutFaults("two");
    const auto stored = fixture.read();
    cr_assert(stored.value()->configuration.deployment == "two");
    cr_assert(stored.value()->configuration.version == 2);
    cr_assert(stored.value()->head.current.author == "operator");
}

// Guards against an operator overwriting a change that he never saw. The conflict must contain the other version.
Test(ConfigurationStore, reportsConflictWithTheOthersConfiguration)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const auto base = fixture.read().value();
    fixture.applyWithoutFaults("other");
    const ApplyResult result = fixture.apply("mine", base);
    const auto* conflict = std::get_if<ConfigurationConflict>(&result);
    cr_assert(conflict && conflict->stored);
    cr_assert(conflict->stored->configuration.deployment == "other");
    cr_assert(conflict->stored->head.current.version == 2);
    cr_assert(fixture.storedDeployment() == "other");
}

// Guards against two concurrent first applies that both succeed.
Test(ConfigurationStore, reportsConflictOnTheFirstApply)
{
    Fixture fixture;
    fixture.injectSwitchFault(1, Fault::None, [&] { fixture.applyWithoutFaults("other"); });
    cr_assert(std::holds_alternative<ConfigurationConflict>(fixture.apply("mine", std::nullopt)));
}

// Guards against reporting failure, or applying a second version, when only the answer was lost.
Test(ConfigurationStore, resolvesLostAnswer)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const auto base = fixture.read().value();
    fixture.injectSwitchFault(1, Fault::LoseAnswer);
    const ApplyResult result = fixture.apply("two", base);
    const auto* applied = std::get_if<ConfigurationApplied>(&result);
    cr_assert(applied && applied->version == 2 && applied->replacedBy == 0);
    cr_assert(fixture.read().value()->head.current.version == 2);
}

// Guards against reporting a conflict when the apply took effect and was replaced before the head was read.
Test(ConfigurationStore, resolvesLostAnswerOfReplacedApply)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const auto base = fixture.read().value();
    bool isReplaced = false;
    fixture.injectSwitchFault(1, Fault::LoseAnswer);
    const auto loseFirst = fixture.service.chooseFault;
    fixture.service.chooseFault = [&](const std::string& operation, const std::string& key) {
        if (operation == "get" && key == configurationHeadKey && !std::exchange(isReplaced, true))
            fixture.applyWithoutFaults("three");
        return loseFirst(operation, key);
    };
    const ApplyResult result = fixture.apply("two", base);
    const auto* applied = std::get_if<ConfigurationApplied>(&result);
    cr_assert(applied && applied->version == 2 && applied->replacedBy == 3);
    cr_assert(fixture.storedDeployment() == "three");
}

// Guards against reporting success when the request was lost in transit and another operator's apply succeeded.
Test(ConfigurationStore, resolvesLostRequestAgainstAnotherApply)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const auto base = fixture.read().value();
    fixture.injectSwitchFault(1, Fault::LoseRequest, [&] { fixture.applyWithoutFaults("other"); });
    const ApplyResult result = fixture.apply("mine", base);
    cr_assert(std::holds_alternative<ConfigurationConflict>(result));
    cr_assert(fixture.storedDeployment() == "other");
}

// Guards against applying a configuration twice when a delayed request arrives after its retry, or before it.
Test(ConfigurationStore, appliesOnceWhenADelayedRequestArrivesLate)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const auto base = fixture.read().value();
    fixture.injectSwitchFault(1, Fault::DelayRequest);
    const ApplyResult result = fixture.apply("two", base);
    cr_assert(std::holds_alternative<ConfigurationApplied>(result));
    fixture.applyWithoutFaults("three");
    fixture.service.runDelayed();
    cr_assert(fixture.storedDeployment() == "three");
}

// Guards against reporting a definite outcome while unanswered requests may still take effect.
Test(ConfigurationStore, reportsOutcomeUnknownWhileRequestsMayArrive)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const auto base = fixture.read().value();
    fixture.service.chooseFault = [](const std::string& operation, const std::string& key) {
        return operation == "cas" && key == configurationHeadKey ? Fault::DelayRequest : Fault::None;
    };
    cr_assert(isError(fixture.apply("two", base), ConfigurationStoreError::Code::OutcomeUnknown));
    fixture.service.runDelayed();
    cr_assert(fixture.storedDeployment() == "two");
}

// Guards against reporting an unknown outcome when the service was never reached and a retry is safe.
Test(ConfigurationStore, reportsUnreachableWhenNothingWasSent)
{
    for (const Fault fault : { Fault::NotSent, Fault::RefuseByRate }) {
        Fixture fixture;
        fixture.applyWithoutFaults("one");
        const auto base = fixture.read().value();
        fixture.service.chooseFault = [fault](const std::string& operation, const std::string& key) {
            return operation == "cas" && key == configurationHeadKey ? fault : Fault::None;
        };
        cr_assert(isError(fixture.apply("two", base), ConfigurationStoreError::Code::Unreachable));
        cr_assert(fixture.storedDeployment() == "one");
    }
}

// Guards against a wrong outcome or a double apply under any sequence of faults and one concurrent operator.
Test(ConfigurationStore, reportsCorrectOutcomeUnderRandomFaults)
{
    cr_assert(rc::check("the report agrees with the stored history", [] {
        Fixture fixture;
        fixture.applyWithoutFaults("one");
        const auto base = fixture.read().value();
        const auto faults = *rc::gen::container<std::vector<Fault>>(30,
            rc::gen::weightedElement<Fault>({ { 3, Fault::None }, { 1, Fault::LoseAnswer }, { 1, Fault::LoseRequest },
                { 1, Fault::DelayRequest }, { 1, Fault::RefuseByRate }, { 1, Fault::NotSent } }));
        const int raceAt = *rc::gen::inRange(0, 20);
        const int deliveryAt = *rc::gen::inRange(0, 20);
        int call = -1;
        const std::function<Fault(const std::string&, const std::string&)> script
            = [&](const std::string&, const std::string&) {
                  const int current = ++call;
                  if (current == raceAt)
                      fixture.applyWithoutFaults("other");
                  if (current == deliveryAt)
                      fixture.service.runDelayed();
                  return current < 30 ? faults[static_cast<std::size_t>(current)] : Fault::None;
              };
        fixture.service.chooseFault = script;
        const ApplyResult result = fixture.apply("mine", base);
        const std::string ownId = "apply-2";
        fixture.service.chooseFault = nullptr;
        const bool isKnown = !isError(result, ConfigurationStoreError::Code::OutcomeUnknown);
        const bool wasApplied = fixture.read().value()->head.findApply(ownId) != nullptr;
        if (isKnown)
            RC_ASSERT(wasApplied == std::holds_alternative<ConfigurationApplied>(result));
        fixture.service.runDelayed();
        const auto after = fixture.read().value();
        if (isKnown)
            RC_ASSERT((after->head.findApply(ownId) != nullptr) == wasApplied);
        const auto raced = static_cast<std::uint64_t>(fixture.applies - 2);
        const std::uint64_t own = after->head.findApply(ownId) ? 1 : 0;
        RC_ASSERT(after->head.current.version == 1 + raced + own);
    }));
}

// Guards against a read that fails because parts were deleted after the head was read.
Test(ConfigurationStore, readsAgainWhenPartsWereCollected)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const std::string oldPart = fixture.read().value()->head.current.parts[0].key();
    bool isDone = false;
    fixture.service.chooseFault = [&](const std::string& operation, const std::string& key) {
        if (operation == "get" && key == oldPart && !std::exchange(isDone, true)) {
            fixture.applyWithoutFaults("two");
            fixture.service.values().erase(oldPart);
        }
        return Fault::None;
    };
    const auto stored = fixture.read();
    cr_assert(stored.hasValue() && stored.value()->configuration.deployment == "two");
}

// Guards against a read that accepts a damaged configuration or retries forever.
Test(ConfigurationStore, reportsDamage)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const std::string part = fixture.read().value()->head.current.parts[0].key();
    fixture.service.values()[part].value += ' ';
    const auto damagedPart = fixture.read();
    cr_assert(!damagedPart.hasValue() && damagedPart.error().code == ConfigurationStoreError::Code::Damaged);
    fixture.service.values()[configurationHeadKey].value = "{}";
    const auto damagedHead = fixture.read();
    cr_assert(!damagedHead.hasValue() && damagedHead.error().code == ConfigurationStoreError::Code::Damaged);
}

// Guards against a store that grows with every apply, and against deleting the parts of an apply that is still running.
Test(ConfigurationStore, collectsOldPartsOnly)
{
    Fixture fixture;
    for (int i = 0; i < 40; ++i)
        fixture.applyWithoutFaults("deployment-" + std::to_string(i));
    std::size_t removed = 0;
    fixture.store.collectGarbage([&](const auto& result) { removed = result ? result.value() : 0; });
    // 40 releases, of which the head references the current one and at most 32 retained ones.
    cr_assert(removed == 7, "%zu removed", removed);
    const auto base = fixture.read().value();
    fixture.injectSwitchFault(1, Fault::None, [&] { fixture.store.collectGarbage([](const auto&) {}); });
    cr_assert(std::holds_alternative<ConfigurationApplied>(fixture.apply("last", base)));
    cr_assert(fixture.storedDeployment() == "last");
}

// Guards against a watcher that reads all parts on each expired watch.
Test(ConfigurationStore, awaitsChanges)
{
    Fixture fixture;
    fixture.applyWithoutFaults("one");
    const std::uint64_t revision = fixture.read().value()->headRevision;
    const std::size_t before = fixture.service.calls("get");
    std::optional<StoredConfiguration> seen;
    const auto keep = [&](const auto& result) { seen = result.value(); };
    fixture.store.awaitChange(revision, Milliseconds(10), keep);
    cr_assert(!seen && fixture.service.calls("get") == before + 1);
    fixture.applyWithoutFaults("two");
    fixture.store.awaitChange(revision, Milliseconds(10), keep);
    cr_assert(seen && seen->configuration.version == 2);
}
