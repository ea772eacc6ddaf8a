#include "CborReader.h"

#include <algorithm>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    /**
     * Maximum nesting depth; messages nest maps, arrays of records and records. The library parses recursively, so
     * without this limit a megabyte of nested arrays would exhaust the stack.
     */
    constexpr std::size_t maximumDepth = 4;

    /** Longest accepted duration; much larger values overflow when converted to the resolution of Clock. */
    constexpr std::uint64_t maximumMilliseconds = std::uint64_t { 1 } << 40U;

    /** Builds the document while parsing and stops at the first element that no message contains. */
    class BoundedBuilder : public Json::json_sax_t {
    public:
        Json takeDocument() { return std::move(document_); }

        bool null() override { return false; }
        bool boolean(bool value) override { return add(value) != nullptr; }
        bool number_integer(number_integer_t value) override { return add(value) != nullptr; }
        bool number_unsigned(number_unsigned_t value) override { return add(value) != nullptr; }
        bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return false; }
        bool string(string_t& value) override { return add(std::move(value)) != nullptr; }
        bool binary(binary_t& value) override { return add(std::move(value)) != nullptr; }
        bool start_object(std::size_t /*elements*/) override { return open(Json::value_t::object); }
        bool start_array(std::size_t /*elements*/) override { return open(Json::value_t::array); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }

        bool key(string_t& value) override
        {
            key_ = std::move(value);
            return !stack_.back()->contains(key_);
        }

        bool parse_error(std::size_t /*position*/, const std::string& /*token*/, // NOLINT: name required by the library
            const Json::exception& /*error*/) override
        {
            return false;
        }

    private:
        template <typename Value> Json* add(Value&& value)
        {
            if (stack_.empty()) {
                document_ = std::forward<Value>(value);
                return &document_;
            }
            Json& parent = *stack_.back();
            if (parent.is_object())
                return &(parent[key_] = std::forward<Value>(value));
            parent.push_back(std::forward<Value>(value));
            return &parent.back();
        }

        bool open(Json::value_t type)
        {
            if (stack_.size() == maximumDepth)
                return false;
            stack_.push_back(add(Json(type)));
            return true;
        }

        bool close()
        {
            stack_.pop_back();
            return true;
        }

        Json document_;
        /** Open containers, outermost first. The pointers stay valid: a container does not move while a child is open.
         */
        std::vector<Json*> stack_;
        std::string key_;
    };

} // namespace

Json parseCbor(const std::string& bytes)
{
    Json discarded(Json::value_t::discarded);
    try {
        BoundedBuilder builder;
        if (!Json::sax_parse(bytes, &builder, Json::input_format_t::cbor))
            return discarded;
        return builder.takeDocument();
    } catch (const std::exception&) {
        return discarded;
    }
}

CborReader::CborReader(const Json& map)
    : map_(map)
{
    if (!map.is_object())
        firstError_ = "not a map";
}

const Json* CborReader::find(const char* key) const
{
    if (!firstError_.empty())
        return nullptr;
    const auto position = map_.find(key);
    return position == map_.end() ? nullptr : &*position;
}

bool CborReader::has(const char* key) const { return find(key) != nullptr; }

std::uint64_t CborReader::number(const char* key, std::uint64_t maximum)
{
    const Json* value = find(key);
    if (value == nullptr)
        return 0;
    if (!value->is_number_unsigned()) {
        fail(key, "is not an unsigned number");
        return 0;
    }
    const auto number = value->get<std::uint64_t>();
    if (number > maximum) {
        fail(key, "is out of range");
        return 0;
    }
    return number;
}

bool CborReader::flag(const char* key)
{
    const Json* value = find(key);
    if (value == nullptr)
        return false;
    if (!value->is_boolean()) {
        fail(key, "is not a boolean");
        return false;
    }
    return value->get<bool>();
}

std::string CborReader::text(const char* key, std::size_t maximumBytes)
{
    const Json* value = find(key);
    if (value == nullptr)
        return {};
    if (!value->is_string()) {
        fail(key, "is not a string");
        return {};
    }
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() > maximumBytes) {
        fail(key, "is too long");
        return {};
    }
    return text;
}

std::string CborReader::bytes(const char* key)
{
    const Json* value = find(key);
    if (value == nullptr)
        return {};
    if (!value->is_binary()) {
        fail(key, "is not a byte string");
        return {};
    }
    const Json::binary_t& binary = value->get_binary();
    return { binary.begin(), binary.end() };
}

Milliseconds CborReader::milliseconds(const char* key)
{
    return Milliseconds(static_cast<std::int64_t>(number(key, maximumMilliseconds)));
}

const Json& CborReader::array(const char* key, std::size_t maximumLength)
{
    static const Json none = Json::array();
    const Json* value = find(key);
    if (value == nullptr)
        return none;
    if (!value->is_array()) {
        fail(key, "is not an array");
        return none;
    }
    if (value->size() > maximumLength) {
        fail(key, "has too many elements");
        return none;
    }
    return *value;
}

const Json& CborReader::map(const char* key)
{
    static const Json none = Json::object();
    const Json* value = find(key);
    if (value == nullptr || !value->is_object()) {
        fail(key, "is not a map");
        return none;
    }
    return *value;
}

void CborReader::fail(const std::string& key, const std::string& problem)
{
    if (firstError_.empty())
        firstError_ = "field '" + key + "' " + problem;
}

void CborReader::adoptError(const CborReader& nested)
{
    if (firstError_.empty())
        firstError_ = nested.firstError_;
}

} // namespace almondlever
