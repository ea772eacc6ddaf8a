#include "Relay.h"

#include <array>
#include <asio.hpp>
#include <set>

namespace almondlever::standin {

namespace {

    using Socket = asio::ip::tcp::socket;

    constexpr std::size_t readBufferBytes = 16 * 1024;
    constexpr std::size_t maximumFirstLineBytes = 4096;
    /** A direction that holds more stops reading, so that the sender feels a full pipe as on a real path. */
    constexpr std::size_t maximumHeldBytes = 4 * 1024 * 1024;

    /** VM id of "GET /peer/<vm id> HTTP/1.1"; empty when the line is another. */
    std::string readPeer(const std::string& line)
    {
        static const std::string prefix = "GET /peer/";
        if (line.compare(0, prefix.size(), prefix) != 0)
            return {};
        const std::size_t end = line.find_first_of(" ?", prefix.size());
        return end == std::string::npos ? std::string() : line.substr(prefix.size(), end - prefix.size());
    }

} // namespace

struct Relay::State : std::enable_shared_from_this<Relay::State> {
    class Link;

    State(asio::io_context& ioContext, NetworkModel& networkModel, Settings given, RelayCounters& relayCounters)
        : context(ioContext)
        , network(networkModel)
        , settings(std::move(given))
        , counters(relayCounters)
        , acceptor(ioContext)
    {
    }

    void accept();

    asio::io_context& context;
    NetworkModel& network;
    Settings settings;
    RelayCounters& counters;
    asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<Link>> links;
};

class Relay::State::Link : public std::enable_shared_from_this<Link> {
public:
    Link(std::shared_ptr<State> relay, Socket client)
        : relay_(std::move(relay))
        , client_(std::move(client))
        , daemon_(relay_->context)
    {
    }

    void start()
    {
        const auto onLoss = [self = weak_from_this()] {
            if (const auto link = self.lock())
                link->close();
        };
        up_.line = DelayLine::create(relay_->context, relay_->network, onLoss);
        down_.line = DelayLine::create(relay_->context, relay_->network, onLoss);
        up_.to = &daemon_;
        down_.to = &client_;
        up_.from = &client_;
        down_.from = &daemon_;
        readFirstLine();
    }

    void close()
    {
        if (!isOpen_)
            return;
        isOpen_ = false;
        up_.line->clear();
        down_.line->clear();
        std::error_code ignored;
        client_.close(ignored);
        daemon_.close(ignored);
        relay_->links.erase(shared_from_this());
    }

private:
    struct Direction {
        Socket* from = nullptr;
        Socket* to = nullptr;
        std::shared_ptr<DelayLine> line;
        std::array<char, readBufferBytes> input {};
        std::string sender;
        std::string receiver;
        /** Bytes read but not yet written out. */
        std::size_t held = 0;
        std::string output;
        std::string writing;
        bool isReading = false;
        bool isWriting = false;
        bool hasEnded = false;
        bool isShutDown = false;
    };

    void readFirstLine()
    {
        client_.async_read_some(
            asio::buffer(up_.input), [self = shared_from_this()](std::error_code error, std::size_t size) {
                if (error)
                    return self->close();
                self->first_.append(self->up_.input.data(), size);
                const std::size_t end = self->first_.find("\r\n");
                if (end != std::string::npos)
                    return self->connect(readPeer(self->first_.substr(0, end)));
                if (self->first_.size() > maximumFirstLineBytes)
                    return self->close();
                self->readFirstLine();
            });
    }

    void connect(const std::string& vm)
    {
        if (vm.empty() || !isOpen_)
            return close();
        const Place asker = relay_->network.placeOfVm(vm);
        const Place& place = relay_->settings.place;
        up_.line->connect(asker, place);
        down_.line->connect(place, asker);
        up_.sender = down_.receiver = vm;
        up_.receiver = down_.sender = place.vm;
        // The daemon sees the connection when the first bytes have crossed the network.
        up_.line->push([self = shared_from_this()] { self->connectDaemon(); });
    }

    void connectDaemon()
    {
        std::error_code error;
        const HttpAddress& address = relay_->settings.daemon;
        const auto ip = asio::ip::make_address(address.host, error);
        if (error)
            return close();
        daemon_.async_connect({ ip, address.port }, [self = shared_from_this()](std::error_code result) {
            if (result || !self->isOpen_)
                return self->close();
            std::error_code ignored;
            self->daemon_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->count(self->up_, self->first_.size());
            self->up_.held += self->first_.size();
            self->write(self->up_, self->first_);
            self->read(self->up_);
            self->read(self->down_);
        });
    }

    void count(const Direction& direction, std::size_t size)
    {
        relay_->counters[direction.sender].sent += size;
        relay_->counters[direction.receiver].received += size;
    }

    void read(Direction& direction)
    {
        if (!isOpen_ || direction.isReading || direction.hasEnded || direction.held > maximumHeldBytes)
            return;
        direction.isReading = true;
        direction.from->async_read_some(asio::buffer(direction.input),
            [self = shared_from_this(), &direction](std::error_code error, std::size_t size) {
                direction.isReading = false;
                if (!self->isOpen_)
                    return;
                if (error)
                    return self->end(direction);
                self->count(direction, size);
                direction.held += size;
                direction.line->push([self, &direction, text = std::string(direction.input.data(), size)] {
                    self->write(direction, text);
                });
                self->read(direction);
            });
    }

    void end(Direction& direction)
    {
        direction.hasEnded = true;
        direction.line->push([self = shared_from_this(), &direction] {
            direction.isShutDown = true;
            if (!direction.isWriting)
                self->shutDown(direction);
        });
    }

    void shutDown(Direction& direction)
    {
        std::error_code ignored;
        direction.to->shutdown(Socket::shutdown_send, ignored);
        if (up_.isShutDown && down_.isShutDown)
            close();
    }

    void write(Direction& direction, const std::string& text)
    {
        direction.output += text;
        if (!direction.isWriting)
            flush(direction);
    }

    void flush(Direction& direction)
    {
        if (!isOpen_)
            return;
        direction.isWriting = true;
        direction.writing.swap(direction.output);
        direction.output.clear();
        asio::async_write(*direction.to, asio::buffer(direction.writing),
            [self = shared_from_this(), &direction](std::error_code error, std::size_t size) {
                direction.isWriting = false;
                if (error)
                    return self->close();
                direction.held -= size;
                self->read(direction);
                if (!direction.output.empty())
                    return self->flush(direction);
                if (direction.isShutDown)
                    self->shutDown(direction);
            });
    }

    std::shared_ptr<State> relay_;
    Socket client_;
    Socket daemon_;
    Direction up_;
    Direction down_;
    std::string first_;
    bool isOpen_ = true;
};

void Relay::State::accept()
{
    acceptor.async_accept([self = weak_from_this()](std::error_code error, Socket socket) {
        const auto state = self.lock();
        if (!state || error == asio::error::operation_aborted || !state->acceptor.is_open())
            return;
        if (!error) {
            std::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            const auto link = std::make_shared<Link>(state, std::move(socket));
            state->links.insert(link);
            link->start();
        }
        state->accept();
    });
}

Relay::Relay(asio::io_context& context, NetworkModel& network, const Settings& settings, RelayCounters& counters)
    : state_(std::make_shared<State>(context, network, settings, counters))
{
}

Relay::~Relay()
{
    std::error_code ignored;
    state_->acceptor.close(ignored);
    const auto links = state_->links;
    for (const auto& link : links)
        link->close();
}

Result<HttpAddress, std::string> Relay::start()
{
    HttpAddress& listen = state_->settings.listen;
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(listen.host), listen.port);
        state_->acceptor.open(endpoint.protocol());
        state_->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        state_->acceptor.bind(endpoint);
        state_->acceptor.listen();
        listen.port = state_->acceptor.local_endpoint().port();
    } catch (const std::system_error& error) {
        return "relay cannot listen on " + listen.host + ':' + std::to_string(listen.port) + ": " + error.what();
    }
    state_->accept();
    return listen;
}

std::size_t Relay::openConnections() const { return state_->links.size(); }

} // namespace almondlever::standin
