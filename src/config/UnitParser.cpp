#include "UnitParser.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <optional>

namespace almondlever {

namespace {

    struct Unit {
        const char* name;
        std::uint64_t factor;
    };

    /** In ascending order, as formatQuantity requires. */
    constexpr std::array<Unit, 4> timeUnits { { { "ms", 1 }, { "s", 1000 }, { "min", 60000 }, { "h", 3600000 } } };
    constexpr std::array<Unit, 4> byteUnits { { { "B", 1 }, { "KiB", 1024 }, { "MiB", 1048576 },
        { "GiB", 1073741824 } } };

    /** Prevents overflow: number times factor must fit into a signed 64-bit count of milliseconds or bytes. */
    constexpr std::uint64_t maximumQuantity = std::numeric_limits<std::int64_t>::max() / 2;

    std::string trimLeadingSpaces(const char* begin, const char* end)
    {
        while (begin != end && *begin == ' ')
            ++begin;
        return { begin, end };
    }

    std::optional<std::uint64_t> parseQuantity(const std::string& text, const std::array<Unit, 4>& units)
    {
        std::uint64_t number = 0;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        if (parsed.ec != std::errc())
            return std::nullopt;
        const std::string name = trimLeadingSpaces(parsed.ptr, end);
        for (const Unit& unit : units) {
            if (name == unit.name && number <= maximumQuantity / unit.factor)
                return number * unit.factor;
        }
        return std::nullopt;
    }

    std::string formatQuantity(std::uint64_t quantity, const std::array<Unit, 4>& units)
    {
        const Unit* chosen = units.data();
        for (const Unit& unit : units) {
            if (quantity != 0 && quantity % unit.factor == 0)
                chosen = &unit;
        }
        return std::to_string(quantity / chosen->factor) + chosen->name;
    }

} // namespace

Result<Milliseconds, std::string> parseDuration(const std::string& text)
{
    const auto quantity = parseQuantity(text, timeUnits);
    if (!quantity)
        return std::string("write a whole number with a unit of ms, s, min or h, for example 500ms or 2s");
    return Milliseconds(static_cast<std::int64_t>(*quantity));
}

Result<std::size_t, std::string> parseByteSize(const std::string& text)
{
    const auto quantity = parseQuantity(text, byteUnits);
    if (!quantity)
        return std::string("write a whole number with a unit of B, KiB, MiB or GiB, for example 4MiB");
    return static_cast<std::size_t>(*quantity);
}

Result<double, std::string> parsePercentage(const std::string& text)
{
    const std::string advice = "write a number from 0 to 100 with a per cent sign, for example 25%";
    const bool startsWithDigit = !text.empty() && text.front() >= '0' && text.front() <= '9';
    if (!startsWithDigit)
        return advice;
    double percentage = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, percentage, std::chars_format::fixed);
    const bool isNumber = parsed.ec == std::errc() && percentage <= 100;
    if (!isNumber || trimLeadingSpaces(parsed.ptr, end) != "%")
        return advice;
    return percentage;
}

std::string formatDuration(Milliseconds duration)
{
    return formatQuantity(static_cast<std::uint64_t>(duration.count()), timeUnits);
}

std::string formatByteSize(std::size_t bytes) { return formatQuantity(bytes, byteUnits); }

std::string formatShare(double share)
{
    const std::string percentage = fmt::format("{:.10g}%", share * 100);
    const auto readBack = parsePercentage(percentage);
    const bool isExact = readBack && readBack.value() / 100 == share;
    return isExact ? percentage : fmt::format("share {}", share);
}

} // namespace almondlever
