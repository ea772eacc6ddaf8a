#include "Output.h"

#include <array>
#include <ctime>
#include <ostream>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    constexpr int jsonIndent = 2;

    /** Deeper levels are printed as JSON on one line; a daemon's responses are flat. */
    constexpr std::size_t maximumDepth = 16;

    const char* toText(ConfigurationChange::Kind kind)
    {
        switch (kind) {
        case ConfigurationChange::Kind::Added:
            return "added";
        case ConfigurationChange::Kind::Removed:
            return "removed";
        case ConfigurationChange::Kind::Changed:
            break;
        }
        return "changed";
    }

    std::string formatTime(WallTime time)
    {
        const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
        return text.data();
    }

    bool isNested(const Json& value, std::size_t depth)
    {
        return value.is_structured() && !value.empty() && depth < maximumDepth;
    }

    std::string formatScalar(const Json& value)
    {
        return value.is_string() ? value.get<std::string>()
                                 : value.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    void printNested(const Json& value, std::size_t depth, std::ostream& out)
    {
        const std::string indent(2 * depth, ' ');
        for (const auto& item : value.items()) {
            const std::string label = value.is_object() ? item.key() + ":" : "-";
            out << indent << label;
            if (!isNested(item.value(), depth + 1)) {
                out << ' ' << formatScalar(item.value()) << '\n';
                continue;
            }
            out << '\n';
            printNested(item.value(), depth + 1, out);
        }
    }

} // namespace

nlohmann::json toJson(const Findings& findings)
{
    Json list = Json::array();
    for (const Finding& finding : findings)
        list.push_back({ { "file", finding.file }, { "line", finding.line }, { "column", finding.column },
            { "problem", finding.problem }, { "advice", finding.advice } });
    return { { "findings", std::move(list) } };
}

nlohmann::json toJson(const ConfigurationChanges& changes)
{
    Json list = Json::array();
    for (const ConfigurationChange& change : changes)
        list.push_back({ { "subject", change.subject }, { "change", toText(change.kind) },
            { "property", change.property }, { "before", change.before }, { "after", change.after } });
    return list;
}

void printFindings(const Findings& findings, std::ostream& out)
{
    for (const Finding& finding : findings)
        out << describe(finding) << '\n';
    out << findings.size() << (findings.size() == 1 ? " finding\n" : " findings\n");
}

void printChanges(const ConfigurationChanges& changes, std::ostream& out)
{
    if (changes.empty())
        out << "  no changes\n";
    for (const ConfigurationChange& change : changes)
        out << "  " << describe(change) << '\n';
}

std::string describe(const ConfigurationRelease& release)
{
    return "version " + std::to_string(release.version) + " by " + release.author + " at "
        + formatTime(release.appliedAt);
}

void printReadable(const nlohmann::json& value, std::ostream& out)
{
    if (isNested(value, 0))
        printNested(value, 0, out);
    else
        out << formatScalar(value) << '\n';
}

std::string formatJson(const nlohmann::json& document)
{
    return document.dump(jsonIndent, ' ', false, Json::error_handler_t::replace);
}

} // namespace almondlever
