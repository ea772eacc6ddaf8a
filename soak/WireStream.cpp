#include "WireStream.h"

#include <charconv>

namespace almondlever::soak {

namespace {

    constexpr std::string_view messageEnd = "\r\n";

    bool parseNumber(std::string_view text, std::uint64_t& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::optional<std::string> WireReader::next()
{
    const std::size_t end = buffer_.find(messageEnd, start_);
    if (end == std::string::npos || end - start_ + messageEnd.size() > maximumMessageBytes) {
        buffer_.erase(0, start_);
        start_ = 0;
        return std::nullopt;
    }
    std::string message = buffer_.substr(start_, end - start_);
    start_ = end + messageEnd.size();
    return message;
}

std::string_view takeField(std::string_view& text)
{
    const std::size_t end = text.find(' ');
    const std::string_view field = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return field;
}

std::string formatPosition(const LogPosition& position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.index);
}

std::optional<LogPosition> parsePosition(std::string_view text)
{
    const std::size_t dot = text.find('.');
    LogPosition position;
    if (dot == std::string_view::npos || !parseNumber(text.substr(0, dot), position.term)
        || !parseNumber(text.substr(dot + 1), position.index))
        return std::nullopt;
    return position;
}

WireStream::WireStream(asio::io_context& context)
    : socket_(context)
{
}

WireStream::WireStream(asio::ip::tcp::socket&& socket)
    : socket_(std::move(socket))
{
}

void WireStream::connect(std::uint16_t port, Handlers handlers)
{
    handlers_ = std::move(handlers);
    socket_.async_connect(
        { asio::ip::address_v4::loopback(), port }, [self = shared_from_this()](std::error_code error) {
            if (error)
                return self->fail();
            self->begin();
        });
}

void WireStream::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    begin();
}

void WireStream::begin()
{
    if (isClosed_)
        return;
    std::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    isOpen_ = true;
    read();
    flush();
}

void WireStream::read()
{
    socket_.async_read_some(asio::buffer(input_), [self = shared_from_this()](std::error_code error, std::size_t size) {
        if (error)
            return self->fail();
        self->onRead(size);
    });
}

void WireStream::onRead(std::size_t size)
{
    if (!isFinishing_) {
        reader_.append({ input_.data(), size });
        while (!isClosed_ && !isFinishing_) {
            const std::optional<std::string> message = reader_.next();
            if (!message)
                break;
            handlers_.onMessage(*message);
        }
        if (reader_.isTooLong())
            return fail();
    }
    if (!isClosed_)
        read();
}

void WireStream::write(std::string_view bytes)
{
    if (isFinishing_)
        return;
    output_ += bytes;
    flush();
}

void WireStream::flush()
{
    if (!isOpen_ || isClosed_ || !sending_.empty())
        return;
    if (output_.empty()) {
        std::error_code ignored;
        if (isFinishing_)
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return;
    }
    sending_.swap(output_);
    asio::async_write(socket_, asio::buffer(sending_), [self = shared_from_this()](std::error_code error, std::size_t) {
        self->sending_.clear();
        if (error)
            return self->fail();
        self->flush();
    });
}

void WireStream::close()
{
    isClosed_ = true;
    std::error_code ignored;
    socket_.close(ignored);
}

void WireStream::finish()
{
    isFinishing_ = true;
    flush();
}

void WireStream::fail()
{
    if (isClosed_)
        return;
    close();
    handlers_.onClosed();
}

} // namespace almondlever::soak
