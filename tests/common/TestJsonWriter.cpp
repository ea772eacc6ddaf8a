#include "almondlever/common/JsonWriter.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using almondlever::JsonWriter;

// Guards against escaping that changes keys or values on their way to an endpoint or a caller.
Test(JsonWriter, anyTextIsReadBackUnchanged)
{
    std::string text = "\"quoted\" \\ / \u00fe\u00e6\u2603";
    for (char c = 0; c < 0x7f; ++c)
        text += c;
    JsonWriter writer;
    writer.add("text", text);
    writer.add(text, std::uint64_t { 18446744073709551615U });
    const auto read = nlohmann::json::parse(writer.finish());
    cr_assert(read.at("text") == text);
    cr_assert(read.at(text) == 18446744073709551615U);
}

// Guards against members written with the wrong type, such as a string literal as a boolean.
Test(JsonWriter, keepsTypes)
{
    JsonWriter writer;
    writer.add("literal", "run");
    writer.add("flag", true);
    writer.add("negative", std::int64_t { -3 });
    writer.add("pair", 1, 2);
    const auto expected
        = nlohmann::json { { "literal", "run" }, { "flag", true }, { "negative", -3 }, { "pair", { 1, 2 } } };
    cr_assert(nlohmann::json::parse(writer.finish()) == expected);
    cr_assert(JsonWriter().finish() == "{}");
}
