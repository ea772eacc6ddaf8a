#pragma once

#include "almondlever/common/LogPosition.h"

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondlever::soak {

/**
 * Splits bytes into messages, which end at CR LF; a lone LF or CR is data. Written from the protocol's page and shares
 * no code with the daemon's reader, so that both cannot be wrong in the same way.
 */
class WireReader {
public:
    static constexpr std::size_t maximumMessageBytes = 1024 * 1024;

    void append(std::string_view bytes) { buffer_.append(bytes); }
    /** The next message without its end; nullopt if none is complete. */
    std::optional<std::string> next();
    bool isTooLong() const { return buffer_.size() - start_ > maximumMessageBytes; }

private:
    std::string buffer_;
    std::size_t start_ = 0;
};

/** Takes the field before the first blank from the text; the rest keeps its further blanks. */
std::string_view takeField(std::string_view& text);
std::string formatPosition(const LogPosition&);
/** nullopt if the text is not TERM.NUMBER. */
std::optional<LogPosition> parsePosition(std::string_view text);

/** A TCP connection of a stand-in or a caller. */
class WireStream : public std::enable_shared_from_this<WireStream> {
public:
    /** None is called after onClosed or close(). */
    struct Handlers {
        std::function<void(std::string_view message)> onMessage;
        std::function<void()> onClosed;
    };

    explicit WireStream(asio::io_context&);
    explicit WireStream(asio::ip::tcp::socket&&);

    /** Connects to a port of this machine; what was written before is sent then. */
    void connect(std::uint16_t port, Handlers);
    /** Starts on an accepted connection. */
    void start(Handlers);
    void write(std::string_view);
    /** Closes at once; unsent bytes are lost. */
    void close();
    /** Sends the remaining bytes and ends the connection; input is ignored from now on. */
    void finish();

private:
    void begin();
    void read();
    void onRead(std::size_t size);
    void flush();
    void fail();

    asio::ip::tcp::socket socket_;
    Handlers handlers_;
    WireReader reader_;
    std::array<char, 8192> input_ {};
    std::string output_;
    std::string sending_;
    bool isOpen_ = false;
    bool isFinishing_ = false;
    bool isClosed_ = false;
};

} // namespace almondlever::soak
