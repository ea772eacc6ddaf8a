#include "HttpLoad.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <charconv>
#include <ctime>
#include <fmt/format.h>
#include <memory>
#include <vector>

namespace almondlever::measure {

namespace {

    using asio::ip::tcp;

    constexpr std::size_t numberDigits = 12;
    constexpr std::size_t readBytes = 16 * 1024;

    /** What the connections of one run share. */
    struct Figures {
        std::vector<Duration> latencies;
        std::uint64_t notOk = 0;
        std::uint64_t lost = 0;
        std::uint64_t sent = 0;
        std::size_t answerBytes = 0;
        TimePoint countFrom;
        TimePoint end;
    };

    std::string requestText(const HttpLoadSettings& settings, const std::string& body)
    {
        std::string text = "POST " + settings.target + " HTTP/1.1\r\nHost: " + settings.address.host + "\r\n";
        for (const HttpHeader& field : settings.headers)
            text += field.first + ": " + field.second + "\r\n";
        return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /**
     * One keep-alive connection. The request text is built once and the answer is read only as far as its status and
     * length, so that the client costs little of the machine that it shares with what it measures.
     */
    class LoadConnection : public std::enable_shared_from_this<LoadConnection> {
    public:
        LoadConnection(asio::io_context& context, const HttpLoadSettings& settings, Figures& figures)
            : socket_(context)
            , endpoint_(asio::ip::make_address(settings.address.host), settings.address.port)
            , figures_(figures)
        {
            std::string body = settings.body;
            const auto placeholder = body.find("{n}");
            if (placeholder != std::string::npos)
                body.replace(placeholder, 3, std::string(numberDigits, '0'));
            text_ = requestText(settings, body);
            if (placeholder != std::string::npos)
                numberAt_ = text_.size() - body.size() + placeholder;
        }

        void start()
        {
            socket_.async_connect(endpoint_, [self = shared_from_this()](std::error_code error) {
                if (error)
                    return self->lose();
                self->socket_.set_option(tcp::no_delay(true));
                self->send();
            });
        }

    private:
        void send()
        {
            if (numberAt_ != std::string::npos)
                text_.replace(numberAt_, numberDigits, fmt::format("{:0{}}", ++figures_.sent, numberDigits));
            received_ = 0;
            sentAt_ = Clock::now();
            if (sentAt_ >= figures_.end)
                return;
            asio::async_write(
                socket_, asio::buffer(text_), [self = shared_from_this()](std::error_code error, std::size_t) {
                    if (error)
                        return self->lose();
                    self->receive();
                });
        }

        void receive()
        {
            socket_.async_read_some(asio::buffer(input_.data() + received_, input_.size() - received_),
                [self = shared_from_this()](std::error_code error, std::size_t size) {
                    if (error)
                        return self->lose();
                    self->received_ += size;
                    self->onInput();
                });
        }

        void onInput()
        {
            const std::string_view text(input_.data(), received_);
            const auto headEnd = text.find("\r\n\r\n");
            if (headEnd == std::string_view::npos)
                return receive();
            const std::size_t whole = headEnd + 4 + contentLength(text.substr(0, headEnd));
            if (whole > input_.size())
                return lose();
            if (received_ < whole)
                return receive();
            const TimePoint now = Clock::now();
            if (text.substr(0, 12) != "HTTP/1.1 200")
                ++figures_.notOk;
            figures_.answerBytes = whole;
            if (now >= figures_.countFrom && now < figures_.end)
                figures_.latencies.push_back(now - sentAt_);
            send();
        }

        static std::size_t contentLength(std::string_view head)
        {
            constexpr std::string_view name = "Content-Length: ";
            const auto at = head.find(name);
            std::size_t length = 0;
            if (at != std::string_view::npos)
                std::from_chars(head.data() + at + name.size(), head.data() + head.size(), length);
            return length;
        }

        void lose() { ++figures_.lost; }

        tcp::socket socket_;
        tcp::endpoint endpoint_;
        Figures& figures_;
        std::string text_;
        std::size_t numberAt_ = std::string::npos;
        std::array<char, readBytes> input_ {};
        std::size_t received_ = 0;
        TimePoint sentAt_;
    };

    double quantileMs(std::vector<Duration>& latencies, double share)
    {
        if (latencies.empty())
            return 0;
        const auto at
            = std::min(latencies.size() - 1, static_cast<std::size_t>(share * static_cast<double>(latencies.size())));
        std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(at), latencies.end());
        return std::chrono::duration<double, std::milli>(latencies[at]).count();
    }

} // namespace

nlohmann::json runHttpLoad(const HttpLoadSettings& settings)
{
    asio::io_context context(1);
    Figures figures;
    const TimePoint start = Clock::now();
    figures.countFrom = start + settings.warmUp;
    figures.end = figures.countFrom + settings.duration;
    const std::clock_t cpuStart = std::clock();
    for (std::size_t i = 0; i < settings.connections; ++i)
        std::make_shared<LoadConnection>(context, settings, figures)->start();
    // An answer that never comes must not keep the program running.
    context.run_until(figures.end + std::chrono::seconds(2));
    const double seconds = std::chrono::duration<double>(settings.duration).count();
    const double wallSeconds = std::chrono::duration<double>(Clock::now() - start).count();
    const double cpuSeconds = static_cast<double>(std::clock() - cpuStart) / CLOCKS_PER_SEC;
    return { { "connections", settings.connections }, { "seconds", seconds }, { "answers", figures.latencies.size() },
        { "requests_per_s", static_cast<double>(figures.latencies.size()) / seconds },
        { "latency_p50_ms", quantileMs(figures.latencies, 0.5) },
        { "latency_p99_ms", quantileMs(figures.latencies, 0.99) }, { "answers_other_than_200", figures.notOk },
        { "lost_connections", figures.lost }, { "answer_bytes", figures.answerBytes },
        { "client_cpu_share", cpuSeconds / wallSeconds } };
}

} // namespace almondlever::measure
