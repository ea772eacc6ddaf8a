#include "almondlever/limits/LimitSettings.h"
#include "almondlever/limits/TransitLimits.h"

#include <criterion/criterion.h>
#include <memory>
#include <vector>

using namespace almondlever;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

} // namespace

// Guards against limits that reject a single statement or a full session on any VM, or that exceed its memory.
Test(LimitSettings, everyVmAdmitsOneStatementAndOneSession)
{
    for (const std::size_t megabytes : { 0, 32, 64, 112, 160, 260, 512, 4096 }) {
        for (const std::size_t descriptors : { 64, 1000, 3010, 4300, 8192 }) {
            const std::size_t memory = megabytes * 1000 * 1000;
            const LimitSettings settings = limitSettingsFor(memory, descriptors);
            cr_expect_str_eq(firstInvalidLimit(settings), "", "%zu MB: %s", megabytes, firstInvalidLimit(settings));
            cr_expect_geq(settings.sessionStateBytes * settings.stateShareOfDatabase, 1020.0 * 1024);
            cr_expect_lt(settings.callerDescriptors, descriptors);
            const std::size_t sum = settings.mediumStatementBytes + settings.largeStatementBytes
                + settings.sessionStateBytes + settings.unreadResponseBytes + settings.transitBytes;
            if (megabytes >= 64)
                cr_expect_leq(sum, memory / 2 + memory / 4, "%zu MB: %zu bytes", megabytes, sum);
        }
    }
}

// Guards against settings out of range that are accepted.
Test(LimitSettings, findsValuesOutOfRange)
{
    const auto isInvalid = [](void (*change)(LimitSettings&)) {
        LimitSettings settings;
        change(settings);
        return *firstInvalidLimit(settings) != '\0';
    };
    cr_assert(isInvalid([](LimitSettings& s) { s.callerDescriptors = 0; }));
    cr_assert(isInvalid([](LimitSettings& s) { s.largeStatementBytes = mebibyte; }));
    cr_assert(isInvalid([](LimitSettings& s) { s.sessionStateBytes = 1000; }));
    cr_assert(isInvalid([](LimitSettings& s) { s.pipelinedStatements = 65; }));
    cr_assert(isInvalid([](LimitSettings& s) { s.startupTimeout = Milliseconds(999); }));
    cr_assert(isInvalid([](LimitSettings& s) { s.progressPeriod = Milliseconds(1); }));
    cr_assert(isInvalid([](LimitSettings& s) { s.stateShareOfDatabase = 0; }));
}

// Guards against large responses that fill the memory while they are received, and against responses none of which is
// ever completed.
Test(TransitLimits, onlyTheFirstLargeResponseGoesOnBeyondTheLimit)
{
    TransitLimits limits(mebibyte);
    std::vector<int> resumes(3, 0);
    std::vector<std::unique_ptr<TransitAccount>> links;
    for (int& count : resumes)
        links.push_back(std::make_unique<TransitAccount>(limits, [&count] { ++count; }));
    for (const auto& link : links)
        link->hold(400 * 1024);
    cr_assert(links[0]->mayContinue());
    cr_assert(!links[1]->mayContinue());
    cr_assert(!links[2]->mayContinue());
    TransitAccount small(limits, [] {});
    small.hold(1000);
    cr_assert(small.mayContinue(), "a small response waits behind large ones");
    links[0]->release();
    cr_assert_eq(resumes[1], 1);
    cr_assert(links[1]->mayContinue());
    links.clear();
    small.release();
    cr_assert_eq(limits.heldBytes(), 0U);
}
