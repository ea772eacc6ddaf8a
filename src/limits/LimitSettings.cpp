#include "almondlever/limits/LimitSettings.h"

#include <algorithm>

namespace almondlever {

namespace {

    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t mebibyte = kibibyte * kibibyte;
    /** Largest message of a caller. */
    constexpr std::size_t largestMessageBytes = mebibyte;
    /** Used if the settings file states no memory. */
    constexpr std::size_t defaultMemoryBytes = 512 * mebibyte;
    /** Memory of the process without callers, and the largest transient copies of one statement. */
    constexpr std::size_t ownBytes = 24 * mebibyte;
    /** Descriptors for endpoints, the store, peers, readiness and files; the platform reserves 200 for files alone. */
    constexpr std::size_t reservedDescriptors = 700;
    /** A VM with few descriptors keeps this share for callers. */
    constexpr double leastCallerShare = 0.3;
    /**
     * Shares of the memory above ownBytes. They add up to less than 1, because small messages, queued small statements
     * and the heap's fragmentation are not accounted.
     */
    constexpr double mediumShare = 0.06;
    constexpr double largeShare = 0.26;
    constexpr double stateShare = 0.2;
    constexpr double unreadShare = 0.15;
    constexpr double transitShare = 0.08;

    std::size_t shareOf(std::size_t bytes, double share)
    {
        return static_cast<std::size_t>(static_cast<double>(bytes) * share);
    }

    bool isBetween(std::size_t value, std::size_t least, std::size_t most) { return value >= least && value <= most; }
    bool isBetween(Milliseconds value, int least, int most)
    {
        return value >= Milliseconds(least) && value <= Milliseconds(most);
    }

} // namespace

LimitSettings limitSettingsFor(std::size_t memoryBytes, std::size_t descriptors)
{
    LimitSettings settings;
    const std::size_t memory = memoryBytes > 0 ? memoryBytes : defaultMemoryBytes;
    const std::size_t shared = memory > ownBytes ? memory - ownBytes : 0;
    settings.mediumStatementBytes
        = std::max(shareOf(shared, mediumShare), settings.statementCopies * settings.mediumMessageBytes);
    settings.largeStatementBytes
        = std::max(shareOf(shared, largeShare), settings.statementCopies * largestMessageBytes);
    settings.sessionStateBytes = std::max(shareOf(shared, stateShare), 2 * mebibyte);
    settings.unreadResponseBytes = std::max(shareOf(shared, unreadShare), mebibyte);
    settings.transitBytes = std::max(shareOf(shared, transitShare), mebibyte);
    const std::size_t remaining = descriptors - std::min(descriptors, reservedDescriptors);
    settings.callerDescriptors = std::max<std::size_t>({ remaining, shareOf(descriptors, leastCallerShare), 1 });
    return settings;
}

const char* firstInvalidLimit(const LimitSettings& settings)
{
    if (settings.callerDescriptors == 0)
        return "callerDescriptors must be at least 1";
    if (!isBetween(settings.smallMessageBytes, kibibyte, 64 * kibibyte))
        return "smallMessageBytes must be between 1 KiB and 64 KiB";
    if (!isBetween(settings.mediumMessageBytes, settings.smallMessageBytes, mebibyte))
        return "mediumMessageBytes must be between smallMessageBytes and 1 MiB";
    if (!isBetween(settings.statementCopies, 1, 8))
        return "statementCopies must be between 1 and 8";
    if (settings.mediumStatementBytes < settings.statementCopies * settings.mediumMessageBytes)
        return "mediumStatementBytes must admit one statement";
    if (settings.largeStatementBytes < settings.statementCopies * largestMessageBytes)
        return "largeStatementBytes must admit one statement";
    if (settings.sessionStateBytes < largestMessageBytes)
        return "sessionStateBytes must admit one full session";
    if (settings.unreadResponseBytes < mebibyte)
        return "unreadResponseBytes must be at least 1 MiB";
    if (settings.transitBytes < mebibyte)
        return "transitBytes must be at least 1 MiB";
    if (settings.stateShareOfDatabase <= 0 || settings.stateShareOfDatabase > 1)
        return "stateShareOfDatabase must be above 0 and at most 1";
    if (!isBetween(settings.pipelinedStatements, 1, 64))
        return "pipelinedStatements must be between 1 and 64";
    if (!isBetween(settings.pipelinedBytes, kibibyte, mebibyte))
        return "pipelinedBytes must be between 1 KiB and 1 MiB";
    if (!isBetween(settings.unreadBytesOfConnection, kibibyte, mebibyte))
        return "unreadBytesOfConnection must be between 1 KiB and 1 MiB";
    if (!isBetween(settings.startupTimeout, 1000, 60000))
        return "startupTimeout must be between 1 s and 60 s";
    if (!isBetween(settings.progressPeriod, 2000, 120000))
        return "progressPeriod must be between 2 s and 120 s";
    if (!isBetween(settings.progressBytes, 1, 64 * kibibyte))
        return "progressBytes must be between 1 B and 64 KiB";
    if (!isBetween(settings.contendedPeriod, 500, 60000))
        return "contendedPeriod must be between 0.5 s and 60 s";
    if (!isBetween(settings.contendedBytes, 1, mebibyte))
        return "contendedBytes must be between 1 B and 1 MiB";
    if (!isBetween(settings.reservationTimeout, 1000, 60000))
        return "reservationTimeout must be between 1 s and 60 s";
    if (settings.logLinesPerSecond < 0.1 || settings.logLinesPerSecond > 1000)
        return "logLinesPerSecond must be between 0.1 and 1000";
    return "";
}

} // namespace almondlever
