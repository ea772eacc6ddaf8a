#include "JsonReader.h"

#include <stdexcept>

namespace almondlever {

namespace {

    [[noreturn]] void reject(const char* key, const char* expected)
    {
        throw std::invalid_argument("'" + std::string(key) + "' is not " + expected);
    }

} // namespace

std::uint64_t readUnsigned(const nlohmann::json& object, const char* key, std::uint64_t maximum)
{
    const nlohmann::json& member = object.at(key);
    if (!member.is_number_unsigned() || member.get<std::uint64_t>() > maximum)
        reject(key, "a whole number in range");
    return member.get<std::uint64_t>();
}

double readShare(const nlohmann::json& object, const char* key)
{
    const nlohmann::json& member = object.at(key);
    const double value = member.is_number() ? member.get<double>() : -1;
    const bool isShare = value >= 0 && value <= 1;
    if (!isShare)
        reject(key, "a number from 0 to 1");
    return value;
}

bool readBoolean(const nlohmann::json& object, const char* key)
{
    const nlohmann::json& member = object.at(key);
    if (!member.is_boolean())
        reject(key, "true or false");
    return member.get<bool>();
}

std::string readText(const nlohmann::json& object, const char* key)
{
    const nlohmann::json& member = object.at(key);
    if (!member.is_string() || member.get_ref<const std::string&>().empty())
        reject(key, "a non-empty string");
    return member.get<std::string>();
}

const nlohmann::json& readList(const nlohmann::json& object, const char* key)
{
    const nlohmann::json& member = object.at(key);
    if (!member.is_array())
        reject(key, "a list");
    return member;
}

std::string writeJson(const nlohmann::json& document)
{
    return document.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace almondlever
