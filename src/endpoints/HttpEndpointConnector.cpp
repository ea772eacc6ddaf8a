#include "almondlever/endpoints/HttpEndpointConnector.h"

#include "HttpEndpointCodec.h"
#include "almondlever/transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace almondlever {

namespace {

    const HttpHeader jsonContent { "Content-Type", "application/json" };

    /** Marks a control connection, which the server treats separately from the pool's connections. */
    const HttpHeader controlHeader { "Endpoint-Connection", "control" };

    class HttpEndpointConnection final : public EndpointConnection {
    public:
        HttpEndpointConnection(std::shared_ptr<HttpConnection> connection, const VmId& ownVm)
            : connection_(std::move(connection))
            , headers_ { jsonContent, { "Almondlever-Vm", ownVm.text() } }
        {
        }

        ~HttpEndpointConnection() override { connection_->close(); }

        void execute(const EndpointStatement& statement, Duration timeout, ReplyCallback callback) override
        {
            post("/statement", statement, timeout, std::move(callback));
        }
        void begin(const EndpointStatement& header, Duration timeout, ReplyCallback callback) override
        {
            post("/begin", header, timeout, std::move(callback));
        }
        void commit(const EndpointStatement& header, Duration timeout, ReplyCallback callback) override
        {
            post("/commit", header, timeout, std::move(callback));
        }
        void rollback(const EndpointStatement& header, Duration timeout, ReplyCallback callback) override
        {
            post("/rollback", header, timeout, std::move(callback));
        }
        bool isOpen() const override { return connection_->isOpen(); }
        void close() override { connection_->close(); }
        void onIdleClose(std::function<void()> callback) override { connection_->onIdleClose(std::move(callback)); }

    private:
        void post(const char* path, const EndpointStatement& statement, Duration timeout, ReplyCallback callback)
        {
            connection_->send({ "POST", path, headers_, encodeStatement(statement) }, timeout,
                [callback = std::move(callback)](const HttpResult& result) { callback(decodeReply(result)); });
        }

        std::shared_ptr<HttpConnection> connection_;
        std::vector<HttpHeader> headers_;
    };

    class HttpEndpointControl final : public EndpointControl {
    public:
        HttpEndpointControl(asio::io_context& context, HttpAddress address, const VmId& ownVm)
            : client_(context)
            , address_(std::move(address))
            , vmHeader_("Almondlever-Vm", ownVm.text())
        {
        }

        void status(Duration timeout, StatusCallback callback) override
        {
            get("/status", timeout, std::move(callback));
        }

        void waitForPosition(
            LogPosition position, Milliseconds wait, Duration timeout, StatusCallback callback) override
        {
            get("/position?term=" + std::to_string(position.term) + "&index=" + std::to_string(position.index)
                    + "&wait_ms=" + std::to_string(wait.count()),
                timeout, std::move(callback));
        }

        void raiseTerm(Term term, const VmId& proposer, Duration timeout, StatusCallback callback) override
        {
            post("/term", { { "term", term }, { "proposer", proposer.text() } }, timeout, std::move(callback));
        }

        void promote(Term term, Duration timeout, StatusCallback callback) override
        {
            post("/promote", { { "term", term } }, timeout, std::move(callback));
        }

        void follow(Term term, const EndpointId& primary, const std::string& primaryAddress, Duration timeout,
            StatusCallback callback) override
        {
            post("/follow", { { "term", term }, { "primary", primary.text() }, { "primary_address", primaryAddress } },
                timeout, std::move(callback));
        }

        void claim(std::uint64_t expectedEpoch, const VmId& owner, Duration timeout, StatusCallback callback) override
        {
            post("/claim", { { "expected_epoch", expectedEpoch }, { "owner", owner.text() } }, timeout,
                std::move(callback));
        }

    private:
        void get(const std::string& target, Duration timeout, StatusCallback callback)
        {
            send({ "GET", target, { controlHeader, vmHeader_ }, "" }, timeout, std::move(callback));
        }

        void post(const std::string& target, const nlohmann::json& body, Duration timeout, StatusCallback callback)
        {
            send({ "POST", target, { controlHeader, vmHeader_, jsonContent }, body.dump() }, timeout,
                std::move(callback));
        }

        void send(const HttpRequest& request, Duration timeout, StatusCallback callback)
        {
            client_.request(address_, request, timeout,
                [callback = std::move(callback)](const HttpResult& result) { callback(decodeStatus(result)); });
        }

        HttpClient client_;
        HttpAddress address_;
        HttpHeader vmHeader_;
    };

    /** Returns an address to which connecting fails if the text is not a valid address. */
    HttpAddress addressOrUnusable(const std::string& text)
    {
        const auto address = parseHttpAddress(text);
        return address ? address.value() : HttpAddress { text, 0 };
    }

} // namespace

void HttpEndpointConnector::open(
    const std::string& address, std::uint64_t /*claimEpoch*/, Duration timeout, OpenCallback callback)
{
    const auto connection = HttpConnection::create(context_);
    connection->connect(addressOrUnusable(address), timeout,
        [connection, ownVm = ownVm_, callback = std::move(callback)](const Result<Done, HttpFailure>& connected) {
            if (!connected)
                return callback(
                    EndpointError { EndpointErrorCode::ConnectionLost, Outcome::NotRun, connected.error().reason, 0 });
            callback(std::shared_ptr<EndpointConnection>(std::make_shared<HttpEndpointConnection>(connection, ownVm)));
        });
}

std::shared_ptr<EndpointControl> HttpEndpointConnector::control(const std::string& address)
{
    return std::make_shared<HttpEndpointControl>(context_, addressOrUnusable(address), ownVm_);
}

} // namespace almondlever
