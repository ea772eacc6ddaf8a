#include "HttpRequestReader.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <http_parser.h>

namespace almondlever::standin {

namespace {

    constexpr std::size_t maximumBodyBytes = 1536 * 1024;

    bool equalsIgnoringCase(const std::string& left, const char* right)
    {
        if (left.size() != std::strlen(right))
            return false;
        for (std::size_t i = 0; i < left.size(); ++i) {
            if (std::tolower(static_cast<unsigned char>(left[i])) != std::tolower(static_cast<unsigned char>(right[i])))
                return false;
        }
        return true;
    }

    int hexDigit(char character)
    {
        if (character >= '0' && character <= '9')
            return character - '0';
        const int lower = std::tolower(static_cast<unsigned char>(character));
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool isEscape
                = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
            if (!isEscape) {
                decoded += text[i] == '+' ? ' ' : text[i];
                continue;
            }
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        }
        return decoded;
    }

} // namespace

std::string StandinRequest::parameter(const std::string& name) const
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string pair = query.substr(begin, end - begin);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.compare(0, equals, name) == 0)
            return equals < pair.size() ? decodePercent(pair.substr(equals + 1)) : std::string();
        begin = end + 1;
    }
    return {};
}

struct HttpRequestReader::State {
    http_parser parser {};
    std::string url;
    std::string field;
    std::string value;
    bool isReadingValue = false;
    bool isDone = false;
    bool isMalformed = false;
    StandinRequest request;

    static State& of(http_parser* parser) { return *static_cast<State*>(parser->data); }

    void finishHeader()
    {
        if (equalsIgnoringCase(field, "Almondlever-Vm"))
            request.vm = value;
        else if (equalsIgnoringCase(field, "Endpoint-Connection"))
            request.isControl = equalsIgnoringCase(value, "control");
        field.clear();
        value.clear();
        isReadingValue = false;
    }

    void reset()
    {
        url.clear();
        field.clear();
        value.clear();
        isReadingValue = false;
        isDone = false;
        request = {};
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    static http_parser_settings makeSettings()
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser* parser, const char* at, std::size_t size) {
            of(parser).url.append(at, size);
            return 0;
        };
        settings.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
            State& state = of(parser);
            if (state.isReadingValue)
                state.finishHeader();
            state.field.append(at, size);
            return 0;
        };
        settings.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
            of(parser).isReadingValue = true;
            of(parser).value.append(at, size);
            return 0;
        };
        settings.on_headers_complete = [](http_parser* parser) {
            of(parser).finishHeader();
            return 0;
        };
        settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
            std::string& body = of(parser).request.body;
            body.append(at, size);
            return body.size() > maximumBodyBytes ? 1 : 0;
        };
        settings.on_message_complete = [](http_parser* parser) {
            of(parser).isDone = true;
            of(parser).request.wantsClose = http_should_keep_alive(parser) == 0;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }
};

HttpRequestReader::HttpRequestReader()
    : state_(std::make_unique<State>())
{
    state_->reset();
}

HttpRequestReader::~HttpRequestReader() = default;

std::size_t HttpRequestReader::feed(const char* bytes, std::size_t size)
{
    static const http_parser_settings settings = State::makeSettings();
    const std::size_t used = http_parser_execute(&state_->parser, &settings, bytes, size);
    const auto error = HTTP_PARSER_ERRNO(&state_->parser);
    if (error != HPE_OK && error != HPE_PAUSED)
        state_->isMalformed = true;
    return used;
}

bool HttpRequestReader::isMalformed() const { return state_->isMalformed; }

bool HttpRequestReader::isDone() const { return state_->isDone; }

StandinRequest HttpRequestReader::release()
{
    StandinRequest request = std::move(state_->request);
    request.method = http_method_str(static_cast<http_method>(state_->parser.method));
    const std::size_t question = std::min(state_->url.find('?'), state_->url.size());
    request.path = state_->url.substr(0, question);
    if (question < state_->url.size())
        request.query = state_->url.substr(question + 1);
    state_->reset();
    return request;
}

} // namespace almondlever::standin
