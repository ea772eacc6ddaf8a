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

    constexpr std::size_t maximumShownCharacters = 60;

    /** Foreign text as shown in a finding: short and without control characters. */
    std::string quote(std::string text)
    {
        const bool isCut = text.size() > maximumShownCharacters;
        text = text.substr(0, maximumShownCharacters);
        for (char& character : text) {
            if (static_cast<unsigned char>(character) < ' ' || character == 0x7f)
                character = '?';
        }
        return "'" + text + (isCut ? "...'" : "'");
    }

    std::string shown(const YAML::Node& node)
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

    /** Notes where a document begins. */
    class DocumentStartHandler : public YAML::EventHandler {
    public:
        void OnDocumentStart(const YAML::Mark& mark) override { place = { mark.line + 1, mark.column + 1 }; }
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

        Place place;
    };

    /**
     * Place of a second document. Not read by YAML::LoadAll, which in yaml-cpp 0.7 never ends on texts such as ",3,.0",
     * where each document is empty and consumes nothing.
     */
    std::optional<Place> findSecondDocument(const std::string& text)
    {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        DocumentStartHandler handler;
        const bool hasSecond = parser.HandleNextDocument(handler) && parser.HandleNextDocument(handler);
        return hasSecond ? std::optional<Place>(handler.place) : std::nullopt;
    }

    std::string rangeAdvice(const std::string& least, const std::string& greatest)
    {
        return "write a value from " + least + " to " + greatest;
    }

} // namespace

void FindingSink::report(const Place& place, std::string problem, std::string advice)
{
    findings_.push_back({ file_, place.line, place.column, std::move(problem), std::move(advice) });
}

Place placeOf(const YAML::Node& node)
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
    , place_(placeOf(node))
    , isMap_(node.IsMap())
{
    if (!isMap_) {
        sink_.report(place_, subject_ + " is " + shown(node), "write a map with the keys " + join(knownKeys_));
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
            sink_.report(placeOf(entry.first), subject_ + " has the key '" + key + "' twice", "remove one of them");
    }
}

void YamlMapReader::reportUnknownKey(const YAML::Node& key)
{
    const std::string nearest = key.IsScalar() ? nearestWord(key.Scalar(), knownKeys_) : std::string();
    const std::string advice
        = nearest.empty() ? "known keys are " + join(knownKeys_) : "did you mean '" + nearest + "'?";
    sink_.report(placeOf(key), subject_ + " has the unknown key " + shown(key), advice);
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
        sink_.report(place_, subject_ + " lacks the key '" + key + "'", "add '" + key + ":' here");
    return nullptr;
}

void YamlMapReader::reportWrongType(const std::string& key, const YAML::Node& node, const std::string& advice)
{
    sink_.report(placeOf(node), "'" + key + "' is " + shown(node), advice);
}

Placed<std::string> YamlMapReader::checkName(const YAML::Node& node, const std::string& key)
{
    if (node.IsScalar() && isName(node.Scalar()))
        return { node.Scalar(), placeOf(node), true };
    reportWrongType(key, node,
        "write a name of at most " + std::to_string(maximumNameCharacters) + " letters, digits, '-', '_' and '.'");
    return { {}, placeOf(node), false };
}

Placed<std::string> YamlMapReader::name(const std::string& key)
{
    const YAML::Node* node = find(key);
    return node ? checkName(*node, key) : Placed<std::string> { {}, place_, false };
}

Placed<std::string> YamlMapReader::text(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { {}, place_, false };
    if (node->IsScalar() && !node->Scalar().empty())
        return { node->Scalar(), placeOf(*node), true };
    reportWrongType(key, *node, "write a text");
    return { {}, placeOf(*node), false };
}

Placed<std::size_t> YamlMapReader::count(const std::string& key, Bounds bounds)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { 0, place_, false };
    std::size_t value = 0;
    const std::string text = node->IsScalar() ? node->Scalar() : std::string();
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
    if (isNumber && value >= bounds.least && value <= bounds.greatest)
        return { value, placeOf(*node), true };
    reportWrongType(key, *node,
        "write a whole number from " + std::to_string(bounds.least) + " to " + std::to_string(bounds.greatest));
    return { 0, placeOf(*node), false };
}

Placed<std::size_t> YamlMapReader::byteSize(const std::string& key, Bounds bounds)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { 0, place_, false };
    const auto size = parseByteSize(node->IsScalar() ? node->Scalar() : std::string());
    const bool isInRange = size && size.value() >= bounds.least && size.value() <= bounds.greatest;
    if (isInRange)
        return { size.value(), placeOf(*node), true };
    reportWrongType(
        key, *node, size ? rangeAdvice(formatByteSize(bounds.least), formatByteSize(bounds.greatest)) : size.error());
    return { 0, placeOf(*node), false };
}

Placed<Milliseconds> YamlMapReader::duration(const std::string& key, Milliseconds least)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { {}, place_, false };
    const auto time = parseDuration(node->IsScalar() ? node->Scalar() : std::string());
    const bool isInRange = time && time.value() >= least && time.value() <= maximumRuleTime;
    if (isInRange)
        return { time.value(), placeOf(*node), true };
    reportWrongType(
        key, *node, time ? rangeAdvice(formatDuration(least), formatDuration(maximumRuleTime)) : time.error());
    return { {}, placeOf(*node), false };
}

Placed<double> YamlMapReader::percentage(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { 0, place_, false };
    const auto value = parsePercentage(node->IsScalar() ? node->Scalar() : std::string());
    if (value)
        return { value.value(), placeOf(*node), true };
    reportWrongType(key, *node, value.error());
    return { 0, placeOf(*node), false };
}

Placed<bool> YamlMapReader::boolean(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { false, place_, false };
    const std::string text = node->IsScalar() ? node->Scalar() : std::string();
    if (text == "true" || text == "false")
        return { text == "true", placeOf(*node), true };
    reportWrongType(key, *node, "write true or false");
    return { false, placeOf(*node), false };
}

Placed<std::vector<YAML::Node>> YamlMapReader::list(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node)
        return { {}, place_, false };
    if (!node->IsSequence() || node->size() == 0) {
        reportWrongType(
            key, *node, "write a list with at least one element, each on a line of its own that begins with '- '");
        return { {}, placeOf(*node), false };
    }
    Placed<std::vector<YAML::Node>> elements { {}, placeOf(*node), true };
    for (const auto& element : *node)
        elements.value.push_back(element);
    return elements;
}

Placed<std::vector<Placed<std::string>>> YamlMapReader::nameList(const std::string& key)
{
    const Placed<std::vector<YAML::Node>> elements = list(key);
    Placed<std::vector<Placed<std::string>>> names { {}, elements.place, elements.isValid };
    for (const YAML::Node& element : elements.value)
        names.value.push_back(checkName(element, key));
    return names;
}

Placed<YAML::Node> parseYaml(const std::string& text, FindingSink& sink)
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
        return { document, placeOf(document), true };
    } catch (const YAML::Exception& error) {
        const Place place = error.mark.is_null() ? Place {} : Place { error.mark.line + 1, error.mark.column + 1 };
        sink.report(place, "the file is not valid YAML: " + error.msg, "correct the syntax at this place");
    } catch (const std::exception& error) {
        // yaml-cpp lets some standard exceptions through on malformed escapes and tags.
        sink.report({}, std::string("the file is not valid YAML: ") + error.what(), "correct the syntax");
    }
    return {};
}

} // namespace almondlever
