#include "almondlever/transport/HttpMessage.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace almondlever {

namespace {

    bool equalsIgnoringCase(const std::string& left, const std::string& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

} // namespace

std::string HttpResponse::header(const std::string& name) const
{
    for (const HttpHeader& field : headers) {
        if (equalsIgnoringCase(field.first, name))
            return field.second;
    }
    return {};
}

Result<HttpAddress, std::string> parseHttpAddress(const std::string& text)
{
    const std::string advice = "'" + text + "' is not an address; write it as ip:port, for example 127.0.0.1:8080";
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
        return advice;
    HttpAddress address;
    address.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || address.port == 0)
        return advice;
    return address;
}

} // namespace almondlever
