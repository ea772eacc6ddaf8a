#include "almondleverctl/DaemonCommands.h"
#include "mocks/FakeKeyValueService.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace almondlever;

namespace {

using Fault = FakeKeyValueService::Fault;

constexpr WallTime start { std::chrono::hours(500000) };

Options optionsFor(const std::string& example, bool isJson = false)
{
    Options options;
    options.directory = std::string(ALMONDLEVER_SOURCE_DIR "/examples/") + example;
    options.isJson = isJson;
    options.author = "operator";
    return options;
}

bool contains(const std::ostringstream& stream, const std::string& text)
{
    return stream.str().find(text) != std::string::npos;
}

struct Fixture {
    FakeKeyValueService service;
    ConfigurationStore store { service, [](Duration, const std::function<void()>& run) { run(); } };
    std::ostringstream out;
    std::ostringstream error;
    unsigned applies = 0;

    OutputStreams streams() { return { out, error }; }

    ExitCode plan(const Options& options)
    {
        ExitCode code = ExitCode::Usage;
        runPlan(options, store, streams(), [&](ExitCode result) { code = result; });
        return code;
    }

    ExitCode apply(const Options& options)
    {
        ExitCode code = ExitCode::Usage;
        const std::string id = "apply-" + std::to_string(++applies);
        runApply(options, store, id, start, streams(), [&](ExitCode result) { code = result; });
        return code;
    }

    void failHeadSwitch(Fault fault)
    {
        service.chooseFault = [fault](const std::string& operation, const std::string& key) {
            return operation == "cas" && key == configurationHeadKey ? fault : Fault::None;
        };
    }
};

} // namespace

// Guards against a plan that differs from what apply then stores, and against a second version without changes.
Test(Commands, plansAndApplies)
{
    Fixture fixture;
    cr_assert(fixture.plan(optionsFor("kavango")) == ExitCode::Success);
    cr_assert(contains(fixture.out, "no configuration is stored yet"));
    cr_assert(contains(fixture.out, "caller buyers: added"));
    cr_assert(fixture.apply(optionsFor("kavango")) == ExitCode::Success);
    cr_assert(contains(fixture.out, "applied as version 1"));
    fixture.out.str("");
    cr_assert(fixture.apply(optionsFor("kavango")) == ExitCode::Success);
    cr_assert(contains(fixture.out, "version 1 by operator at 2027-01-15T08:00:00Z"));
    cr_assert(contains(fixture.out, "no changes"));
    cr_assert(!contains(fixture.out, "applied as version"));
    fixture.out.str("");
    cr_assert(fixture.plan(optionsFor("limmidasmidjan", true)) == ExitCode::Success);
    const auto document = nlohmann::json::parse(fixture.out.str());
    cr_assert(document["stored_version"] == 1);
    cr_assert(document["changes"][0]["subject"] == "failure domain erongo-a");
}

// Guards against files with findings that reach the store, and against a wrong exit code.
Test(Commands, appliesNothingWithFindings)
{
    Fixture fixture;
    cr_assert(runValidate(optionsFor("kavango"), fixture.streams()) == ExitCode::Success);
    cr_assert(runValidate(optionsFor("planted-errors"), fixture.streams()) == ExitCode::Refused);
    cr_assert(contains(fixture.error, "6 findings"));
    cr_assert(fixture.apply(optionsFor("planted-errors")) == ExitCode::Refused);
    cr_assert(fixture.apply(optionsFor("nowhere")) == ExitCode::Refused);
    cr_assert(fixture.service.values().empty());
    fixture.out.str("");
    cr_assert(runValidate(optionsFor("planted-errors", true), fixture.streams()) == ExitCode::Refused);
    cr_assert(nlohmann::json::parse(fixture.out.str())["findings"].size() == 6);
}

// Guards against a conflict that does not show what the other operator changed.
Test(Commands, showsWhatChangedInBetween)
{
    Fixture fixture;
    cr_assert(fixture.apply(optionsFor("kavango")) == ExitCode::Success);
    bool isRaced = false;
    fixture.service.chooseFault = [&](const std::string& operation, const std::string& key) {
        if (operation == "cas" && key == configurationHeadKey && !std::exchange(isRaced, true)) {
            Fixture* racing = &fixture;
            std::optional<StoredConfiguration> base;
            racing->store.readNewest([&](const auto& result) { base = result.value(); });
            Configuration other = base->configuration;
            other.callers[0].maxStaleness = Milliseconds(9000);
            racing->store.apply(other, base, { "racing", "colleague", start }, [](const ApplyResult&) {});
        }
        return Fault::None;
    };
    cr_assert(fixture.apply(optionsFor("limmidasmidjan")) == ExitCode::Conflict);
    cr_assert(contains(fixture.error, "version 2 by colleague"));
    cr_assert(contains(fixture.error, "caller buyers: max_staleness 5s -> 9s"));
}

// Guards against exit codes that make a script repeat an apply whose outcome is unknown.
Test(Commands, distinguishesUnreachableFromUnknown)
{
    Fixture fixture;
    fixture.failHeadSwitch(Fault::NotSent);
    cr_assert(fixture.apply(optionsFor("kavango")) == ExitCode::Unreachable);
    fixture.failHeadSwitch(Fault::DelayRequest);
    cr_assert(fixture.apply(optionsFor("kavango")) == ExitCode::OutcomeUnknown);
    fixture.failHeadSwitch(Fault::LoseAnswer);
    cr_assert(fixture.apply(optionsFor("kavango")) == ExitCode::Success);
}

// Guards against daemon responses printed unreadably, or an error page printed as a response.
Test(Commands, printsDaemonResponses)
{
    Fixture fixture;
    Options options;
    const HttpResult answer = HttpResponse { 200, {},
        R"({"choice":"grades-erongo","reasons":["fresh enough","nearest"],"session":{"term":3},"ready":true})" };
    cr_assert(reportDaemonAnswer(options, answer, fixture.streams()) == ExitCode::Success);
    cr_assert(fixture.out.str()
        == "choice: grades-erongo\nready: true\nreasons:\n  - fresh enough\n  - nearest\nsession:\n  term: 3\n");
    const HttpResult refusal = HttpResponse { 404, {}, "{}" };
    cr_assert(reportDaemonAnswer(options, refusal, fixture.streams()) == ExitCode::Refused);
    const HttpResult unreadable = HttpResponse { 200, {}, "<html>" };
    cr_assert(reportDaemonAnswer(options, unreadable, fixture.streams()) == ExitCode::Refused);
    const HttpResult none = HttpFailure { true, "timed out" };
    cr_assert(reportDaemonAnswer(options, none, fixture.streams()) == ExitCode::Unreachable);
}
