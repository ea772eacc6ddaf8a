#include "HttpResponseParser.h"

#include <boost/beast/http.hpp>
#include <cassert>
#include <optional>

namespace almondlever {

namespace {

    namespace http = boost::beast::http;

    constexpr std::uint64_t maximumResponseBytes = 8 * 1024 * 1024;

} // namespace

struct HttpResponseParser::State {
    std::optional<http::response_parser<http::string_body>> parser;
    /** Received bytes that the parser has not consumed yet because a line is incomplete. */
    std::string pending;

    void startResponse()
    {
        parser.emplace();
        parser->body_limit(maximumResponseBytes);
        parser->eager(true);
    }

    /** True for a complete response that the actual response follows, such as 100 (Continue). */
    bool isInterim() const
    {
        constexpr unsigned switchingProtocols = 101;
        const unsigned status = parser->get().result_int();
        return parser->is_done() && status < 200 && status != switchingProtocols;
    }
};

HttpResponseParser::HttpResponseParser()
    : state_(std::make_unique<State>())
{
}

HttpResponseParser::~HttpResponseParser() = default;

void HttpResponseParser::reset()
{
    state_->pending.clear();
    state_->startResponse();
}

std::string HttpResponseParser::feed(const char* bytes, std::size_t size)
{
    auto& parser = *state_->parser;
    std::string& pending = state_->pending;
    pending.append(bytes, size);
    while (!pending.empty() && !parser.is_done()) {
        boost::system::error_code error;
        const std::size_t used = parser.put(boost::asio::const_buffer(pending.data(), pending.size()), error);
        pending.erase(0, used);
        if (error == http::error::need_more)
            return {};
        if (error)
            return "malformed response: " + error.message();
        if (used == 0)
            return {};
        if (state_->isInterim())
            state_->startResponse();
    }
    return parser.is_done() && !pending.empty() ? "data after the response" : std::string();
}

bool HttpResponseParser::isDone() const { return state_->parser->is_done(); }

bool HttpResponseParser::isKeepAlive() const { return state_->parser->keep_alive(); }

HttpResponse HttpResponseParser::release()
{
    assert(isDone());
    auto message = state_->parser->release();
    HttpResponse response;
    response.status = message.result_int();
    for (const auto& field : message)
        response.headers.emplace_back(field.name_string().to_string(), field.value().to_string());
    response.body = std::move(message.body());
    return response;
}

} // namespace almondlever
