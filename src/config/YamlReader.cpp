#include "YamlReader.h"

#include "NearestWord.h"
#include "UnitParser.h"
#include "almondlever/config/ConfigurationLimits.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>
#include <yaml-cpp/eventhandler.h>

namespace almondlever {

namespace {

    constexpr std::size_t maximumQuotedCharacters = 60;

    /** Quotes untrusted text for a finding: truncated, with control characters replaced. */
    std::string quote(std::string text)
    {
        const bool isTruncated = text.size() > maximumQuotedCharacters;
        text = text.substr(0, maximumQuotedCharacters);
        for (char& character : text) {
            if (static_cast<unsigned char>(character) < ' ' || character == 0x7f)
                character = '?';
        }
        return "'" + text + (isTruncated ? "...'" : "'");
    }

    std::string describeNode(const YAML::Node& node)
    {
        switch (node.Type()) {
        case YAML::NodeType::Scalar:
            return quote(node.Scalar());
        case YAML::NodeType::Sequence:
            return "a list";
        case YAML::NodeType::Map:
            return "a map";
        default:
            return "nothing";
        }
    }

    std::string join(const std::vector<std::string>& words)
    {
        std::string text;
        for (const std::string& word : words)
            text += (text.empty() ? "" : ", ") + word;
        return text;
    }

    bool isNameCharacter(char character)
    {
        const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const bool isDigit = character >= '0' && character <= '9';
        return isLetter || isDigit || character == '-' || character == '_' || character == '.';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maximumNameCharacters
            && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    /** Records the location of the most recent document start. */
    class DocumentStartHandler : public YAML::EventHandler {
    public:
        void OnDocumentStart(const YAML::Mark& mark) override { location = { mark.line + 1, mark.column + 1 }; }
        void OnDocumentEnd() override { }
        void OnNull(const YAML::Mark&, YAML::anchor_t) override { }
        void OnAlias(const YAML::Mark&, YAML::anchor_t) override { }
        void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t, const std::string&) override { }
        void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value) override
        {
        }
        void OnSequenceEnd() override { }
        void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value) override { }
        void OnMapEnd() override { }

        SourceLocation location;
    };

    /**
     * Returns the location of a second document. Does not use YAML::LoadAll, which in yaml-cpp 0.7 loops forever on
     * input such as ",3,.0", where each document is empty and consumes no input.
     */
    std::optional<SourceLocation> findSecondDocument(const std::string& text)
    {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        DocumentStartHandler handler;
        const bool hasSecondDocument = parser.HandleNextDocument(handler) && parser.HandleNextDocument(handler);
        return hasSecondDocument ? std::optional<SourceLocation>(handler.location) : std::nullopt;
    }

    std::string rangeAdvice(const std::string& minimum, const std::string& maximum)
    {
        return "write a value from " + minimum + " to " + maximum;
    }

} // namespace

void FindingSink::report(const SourceLocation& location, std::string problem, std::string advice)
{
    findings_.push_back({ file_, location.line, location.column, std::move(problem), std::move(advice) });
}

SourceLocation locationOf(const YAML::Node& node)
{
    const YAML::Mark mark = node.Mark();
    if (mark.is_null())
        return {};
    return { mark.line + 1, mark.column + 1 };
}

YamlMapReader::YamlMapReader(
    const YAML::Node& node, std::string subject, std::vector<std::string> knownKeys, FindingSink& sink)
    : subject_(std::move(subject))
    , knownKeys_(std::move(knownKeys))
    , sink_(sink)
    , location_(locationOf(node))
    , isMap_(node.IsMap())
{
    if (!isMap_) {
        sink_.report(
            location_, subject_ + " is " + describeNode(node), "write a map with the keys " + join(knownKeys_));
        return;
    }
    readKeys(node);
}

void YamlMapReader::readKeys(const YAML::Node& node)
{
    for (const auto& entry : node) {
        const bool isKnown = entry.first.IsScalar()
            && std::find(knownKeys_.begin(), knownKeys_.end(), entry.first.Scalar()) != knownKeys_.end();
        if (!isKnown) {
            reportUnknownKey(entry.first);
            continue;
        }
        const std::string& key = entry.first.Scalar();
        if (!values_.emplace(key, entry.second).second)
            sink_.report(locationOf(entry.first), subject_ + " has the key '" + key + "' twice", "remove one of them");
    }
}

void YamlMapReader::reportUnknownKey(const YAML::Node& key)
{
    const std::string nearest = key.IsScalar() ? nearestWord(key.Scalar(), knownKeys_) : std::string();
    const std::string advice
        = nearest.empty() ? "known keys are " + join(knownKeys_) : "did you mean '" + nearest + "'?";
    sink_.report(locationOf(key), subject_ + " has the unknown key " + describeNode(key), advice);
    if (!nearest.empty())
        misspelledKeys_.push_back(nearest);
}

const YAML::Node* YamlMapReader::find(const std::string& key)
{
    if (!isMap_)
        return nullptr;
    const auto found = values_.find(key);
    if (found != values_.end())
        return &found->second;
    const bool isMisspelled = std::find(misspelledKeys_.begin(), misspelledKeys_.end(), key) != misspelledKeys_.end();
    if (!isMisspelled)
        sink_.report(location_, subject_ + " lacks the key '" + key + "'", "add '" + key + ":' here");
    return nullptr;
}

void YamlMapReader::reportWrongType(const std::string& key, const YAML::Node& node, const std::string& advice)
{
    sink_.report(locationOf(node), "'" + key + "' is " + describeNode(node), advice);
}

Located<std::string> YamlMapReader::checkName(const YAML::Node& node, const std::string& key)
{
    if (node.IsScalar() && isName(node.Scalar()))
        return { node.Scalar(), locationOf(node), true };
    reportWrongType(key, node,
        "write a name of at most " + std::to_string(maximumNameCharacters) + " letters, digits, '-', '_' and '.'");
    return { {}, locationOf(node), false };
}

Located<std::string> YamlMapReader::name(const std::string& key)
{
    const YAML::Node* node = find(key);
    return node ? checkName(*node, key) : Located<std::string> { {}, location_, false };
}

Located<std::string> YamlMapReader::text(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { {}, location_, false };
    if (node->IsScalar() && !node->Scalar().empty())
        return { node->Scalar(), locationOf(*node), true };
    reportWrongType(key, *node, "write a text");
    return { {}, locationOf(*node), false };
}

Located<std::size_t> YamlMapReader::count(const std::string& key, Bounds bounds)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { 0, location_, false };
    std::size_t value = 0;
    const std::string text = node->IsScalar() ? node->Scalar() : std::string();
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
    if (isNumber && value >= bounds.minimum && value <= bounds.maximum)
        return { value, locationOf(*node), true };
    reportWrongType(key, *node,
        "write a whole number from " + std::to_string(bounds.minimum) + " to " + std::to_string(bounds.maximum));
    return { 0, locationOf(*node), false };
}

Located<std::size_t> YamlMapReader::byteSize(const std::string& key, Bounds bounds)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { 0, location_, false };
    const auto size = parseByteSize(node->IsScalar() ? node->Scalar() : std::string());
    const bool isInRange = size && size.value() >= bounds.minimum && size.value() <= bounds.maximum;
    if (isInRange)
        return { size.value(), locationOf(*node), true };
    reportWrongType(
        key, *node, size ? rangeAdvice(formatByteSize(bounds.minimum), formatByteSize(bounds.maximum)) : size.error());
    return { 0, locationOf(*node), false };
}

Located<Milliseconds> YamlMapReader::duration(const std::string& key, Milliseconds minimum)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { {}, location_, false };
    const auto time = parseDuration(node->IsScalar() ? node->Scalar() : std::string());
    const bool isInRange = time && time.value() >= minimum && time.value() <= maximumRuleTime;
    if (isInRange)
        return { time.value(), locationOf(*node), true };
    reportWrongType(
        key, *node, time ? rangeAdvice(formatDuration(minimum), formatDuration(maximumRuleTime)) : time.error());
    return { {}, locationOf(*node), false };
}

Located<double> YamlMapReader::percentage(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { 0, location_, false };
    const auto value = parsePercentage(node->IsScalar() ? node->Scalar() : std::string());
    if (value)
        return { value.value(), locationOf(*node), true };
    reportWrongType(key, *node, value.error());
    return { 0, locationOf(*node), false };
}

Located<bool> YamlMapReader::boolean(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { false, location_, false };
    const std::string text = node->IsScalar() ? node->Scalar() : std::string();
    if (text == "true" || text == "false")
        return { text == "true", locationOf(*node), true };
    reportWrongType(key, *node, "write true or false");
    return { false, locationOf(*node), false };
}

Located<std::vector<YAML::Node>> YamlMapReader::list(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { {}, location_, false };
    if (!node->IsSequence() || node->size() == 0) {
        reportWrongType(
            key, *node, "write a list with at least one element, each on a line of its own that begins with '- '");
        return { {}, locationOf(*node), false };
    }
    Located<std::vector<YAML::Node>> elements { {}, locationOf(*node), true };
    for (const auto& element : *node)
        elements.value.push_back(element);
    return elements;
}

Located<std::vector<Located<std::string>>> YamlMapReader::nameList(const std::string& key)
{
    const Located<std::vector<YAML::Node>> elements = list(key);
    Located<std::vector<Located<std::string>>> names { {}, elements.location, elements.isValid };
    for (const YAML::Node& element : elements.value)
        names.value.push_back(checkName(element, key));
    return names;
}

Located<YAML::Node> parseYaml(const std::string& text, FindingSink& sink)
{
    if (text.size() > maximumConfigurationFileBytes) {
        sink.report({}, "the file has " + std::to_string(text.size()) + " bytes",
            "at most " + formatByteSize(maximumConfigurationFileBytes) + " are read");
        return {};
    }
    try {
        const YAML::Node document = YAML::Load(text);
        if (!document.IsDefined() || document.IsNull()) {
            sink.report({}, "the file is empty", "write a map of settings");
            return {};
        }
        const auto second = findSecondDocument(text);
        if (second) {
            sink.report(*second, "the first YAML document ends here and another begins",
                "write one document; remove the line '---' or the text that does not belong to the map");
            return {};
        }
        return { document, locationOf(document), true };
    } catch (const YAML::Exception& error) {
        const SourceLocation location
            = error.mark.is_null() ? SourceLocation {} : SourceLocation { error.mark.line + 1, error.mark.column + 1 };
        sink.report(location, "the file is not valid YAML: " + error.msg, "correct the syntax at this place");
    } catch (const std::exception& error) {
        // yaml-cpp throws some standard exceptions on malformed escapes and tags.
        sink.report({}, std::string("the file is not valid YAML: ") + error.what(), "correct the syntax");
    }
    return {};
}

} // namespace almondlever
