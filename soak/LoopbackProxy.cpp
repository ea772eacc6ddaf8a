#include "LoopbackProxy.h"

#include <array>

namespace almondlever::soak {

namespace {

    constexpr std::size_t pieceBytes = 16 * 1024;
    /** Interval at which data that is cut off is looked at again; the sender's window fills meanwhile. */
    constexpr Milliseconds cutInterval { 20 };

} // namespace

/** One connection: two sockets and a pump for each direction. */
class LoopbackProxy::Pipe : public std::enable_shared_from_this<Pipe> {
public:
    Pipe(LoopbackProxy& owner, asio::ip::tcp::socket&& near)
        : owner_(owner)
        , near_(std::move(near))
        , far_(near_.get_executor())
        , up_(near_.get_executor())
        , down_(near_.get_executor())
    {
    }

    void start(std::uint16_t target)
    {
        far_.async_connect(
            { asio::ip::address_v4::loopback(), target }, [self = shared_from_this()](std::error_code error) {
                if (error)
                    return self->close();
                self->up_.pump(self, self->near_, self->far_, true);
                self->down_.pump(self, self->far_, self->near_, false);
            });
    }

    /** Port of the connecting side; 0 if it is gone. */
    std::uint16_t nearPort() const
    {
        std::error_code error;
        const auto remote = near_.remote_endpoint(error);
        return error ? std::uint16_t { 0 } : remote.port();
    }
    bool isExcluded() const { return isExcluded_; }
    void exclude() { isExcluded_ = true; }

    void close()
    {
        std::error_code ignored;
        near_.close(ignored);
        far_.close(ignored);
        up_.timer.cancel();
        down_.timer.cancel();
        owner_.pipes_.erase(shared_from_this());
    }

private:
    struct Direction {
        explicit Direction(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }

        void pump(const std::shared_ptr<Pipe>& pipe, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, bool isUp)
        {
            from.async_read_some(
                asio::buffer(piece), [this, pipe, &from, &to, isUp](std::error_code error, std::size_t size) {
                    if (error)
                        return pipe->close();
                    wait(pipe, from, to, isUp, size, pipe->owner_.faults_.delay);
                });
        }

        void wait(const std::shared_ptr<Pipe>& pipe, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, bool isUp,
            std::size_t size, Milliseconds time)
        {
            const Faults& faults = pipe->owner_.faults_;
            const bool isCut = pipe->isExcluded_ || (isUp ? faults.isCutUpwards : faults.isCutDownwards);
            if (time == Milliseconds(0) && !isCut) {
                asio::async_write(to, asio::buffer(piece.data(), size),
                    [this, pipe, &from, &to, isUp](std::error_code error, std::size_t) {
                        if (error)
                            return pipe->close();
                        pump(pipe, from, to, isUp);
                    });
                return;
            }
            timer.expires_after(isCut ? cutInterval : time);
            timer.async_wait([this, pipe, &from, &to, isUp, size](std::error_code error) {
                if (!error)
                    wait(pipe, from, to, isUp, size, Milliseconds(0));
            });
        }

        std::array<char, pieceBytes> piece {};
        asio::steady_timer timer;
    };

    LoopbackProxy& owner_;
    asio::ip::tcp::socket near_;
    asio::ip::tcp::socket far_;
    bool isExcluded_ = false;
    Direction up_;
    Direction down_;
};

std::string LoopbackProxy::start()
{
    std::error_code error;
    acceptor_.open(asio::ip::tcp::v4(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind({ asio::ip::address_v4::loopback(), port_ }, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error.message();
    port_ = acceptor_.local_endpoint().port();
    accept();
    return {};
}

void LoopbackProxy::accept()
{
    acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        // A connection may end before it is accepted.
        if (!error) {
            const auto pipe = std::make_shared<Pipe>(*this, std::move(socket));
            const bool isExcluded = isExcluded_ && isExcluded_(pipe->nearPort());
            if (isExcluded)
                pipe->exclude();
            pipes_.insert(pipe);
            if (isExcluded && refusesExcluded_)
                pipe->close();
            else
                pipe->start(target_);
        }
        accept();
    });
}

void LoopbackProxy::exclude(std::function<bool(std::uint16_t)> isExcluded, bool refuses)
{
    isExcluded_ = std::move(isExcluded);
    refusesExcluded_ = refuses;
    const auto pipes = pipes_;
    for (const auto& pipe : pipes) {
        if (!isExcluded_(pipe->nearPort()))
            continue;
        pipe->exclude();
        if (refuses)
            pipe->close();
    }
}

void LoopbackProxy::include()
{
    isExcluded_ = nullptr;
    const auto pipes = pipes_;
    for (const auto& pipe : pipes) {
        if (pipe->isExcluded())
            pipe->close();
    }
}

void LoopbackProxy::reset()
{
    const auto pipes = pipes_;
    for (const auto& pipe : pipes)
        pipe->close();
}

} // namespace almondlever::soak
