#pragma once

#include "almondlever/endpoints/EndpointConnection.h"

namespace asio {
class io_context;
}

namespace almondlever {

/** Opens connections to endpoints that speak the HTTP contract of docs/ENDPOINT_CONTRACT.md. */
class HttpEndpointConnector final : public EndpointConnector {
public:
    /** All requests carry the id of this VM, which the servers log. */
    HttpEndpointConnector(asio::io_context& context, VmId ownVm)
        : context_(context)
        , ownVm_(std::move(ownVm))
    {
    }

    void open(const std::string& address, std::uint64_t claimEpoch, Duration timeout, OpenCallback) override;
    std::shared_ptr<EndpointControl> control(const std::string& address) override;

private:
    asio::io_context& context_;
    VmId ownVm_;
};

} // namespace almondlever
