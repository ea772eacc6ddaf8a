#include "almondlever/platform/HttpPlatform.h"

#include "PlatformCodec.h"
#include "almondlever/transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace almondlever {

namespace {

    /** Sends requests to one service of the platform. */
    class PlatformClient {
    public:
        PlatformClient(asio::io_context& context, HttpAddress address, VmId ownVm)
            : client_(context)
            , address_(std::move(address))
            , ownVm_(std::move(ownVm))
        {
        }

        void get(const std::string& target, Duration timeout, HttpConnection::ResponseCallback callback)
        {
            client_.request(address_, { "GET", target, headers(), {} }, timeout, std::move(callback));
        }

        void post(const std::string& target, const nlohmann::json& body, Duration timeout,
            HttpConnection::ResponseCallback callback)
        {
            std::vector<HttpHeader> fields = headers();
            fields.emplace_back("Content-Type", "application/json");
            client_.request(address_, { "POST", target, std::move(fields), body.dump() }, timeout, std::move(callback));
        }

    private:
        std::vector<HttpHeader> headers() const
        {
            if (ownVm_.isEmpty())
                return {};
            return { { "Almondlever-Vm", ownVm_.text() } };
        }

        HttpClient client_;
        HttpAddress address_;
        VmId ownVm_;
    };

    /** Returns true if the text can be encoded as JSON, which requires valid UTF-8. */
    bool isJsonText(const std::string& text)
    {
        try {
            nlohmann::json(text).dump();
            return true;
        } catch (const nlohmann::json::exception&) {
            return false;
        }
    }

    class HttpKeyValueService final : public KeyValueService {
    public:
        HttpKeyValueService(asio::io_context& context, HttpAddress address, VmId ownVm)
            : client_(context, std::move(address), std::move(ownVm))
        {
        }

        void get(const std::string& key, Duration timeout, GetCallback callback) override
        {
            client_.get("/kv?key=" + escapeQueryValue(key), timeout,
                [callback = std::move(callback)](const HttpResult& result) { callback(decodeGetAnswer(result)); });
        }

        void watch(const std::string& key, std::uint64_t knownRevision, Milliseconds wait, Duration timeout,
            GetCallback callback) override
        {
            const std::string target = "/kv?key=" + escapeQueryValue(key)
                + "&known_revision=" + std::to_string(knownRevision) + "&wait_ms=" + std::to_string(wait.count());
            client_.get(target, timeout,
                [callback = std::move(callback)](const HttpResult& result) { callback(decodeGetAnswer(result)); });
        }

        void compareAndSwap(const std::string& key, std::uint64_t expectedRevision, const std::string& value,
            Duration timeout, WriteCallback callback) override
        {
            if (value.size() > maximumKeyValueBytes || !isJsonText(key) || !isJsonText(value))
                return callback(KeyValueError {
                    KeyValueError::Code::Rejected, "the value is larger than the service holds, or not UTF-8", 0 });
            write("/kv/cas", { { "key", key }, { "expected_revision", expectedRevision }, { "value", value } }, timeout,
                std::move(callback));
        }

        void remove(
            const std::string& key, std::uint64_t expectedRevision, Duration timeout, WriteCallback callback) override
        {
            if (!isJsonText(key))
                return callback(KeyValueError { KeyValueError::Code::Rejected, "the key is not UTF-8", 0 });
            write("/kv/delete", { { "key", key }, { "expected_revision", expectedRevision } }, timeout,
                std::move(callback));
        }

        void list(const std::string& prefix, Duration timeout, ListCallback callback) override
        {
            client_.get("/kv/list?prefix=" + escapeQueryValue(prefix), timeout,
                [callback = std::move(callback)](const HttpResult& result) { callback(decodeKeyList(result)); });
        }

    private:
        void write(const std::string& target, const nlohmann::json& body, Duration timeout, WriteCallback callback)
        {
            client_.post(target, body, timeout,
                [callback = std::move(callback)](const HttpResult& result) { callback(decodeWriteAnswer(result)); });
        }

        PlatformClient client_;
    };

    class HttpVmList final : public VmList {
    public:
        HttpVmList(asio::io_context& context, HttpAddress address, VmId ownVm)
            : client_(context, std::move(address), std::move(ownVm))
        {
        }

        void list(Duration timeout, ListCallback callback) override
        {
            client_.get("/vms", timeout,
                [callback = std::move(callback)](const HttpResult& result) { callback(decodeVmList(result)); });
        }

    private:
        PlatformClient client_;
    };

} // namespace

std::unique_ptr<KeyValueService> makeHttpKeyValueService(asio::io_context& context, HttpAddress address, VmId ownVm)
{
    return std::make_unique<HttpKeyValueService>(context, std::move(address), std::move(ownVm));
}

std::unique_ptr<VmList> makeHttpVmList(asio::io_context& context, HttpAddress address, VmId ownVm)
{
    return std::make_unique<HttpVmList>(context, std::move(address), std::move(ownVm));
}

} // namespace almondlever
