#pragma once

#include "almondlever/endpoints/EndpointConnection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace almondlever {

/** One server behind the endpoint interfaces; the test answers its calls. */
struct FakeServer {
    struct Call {
        std::string operation;
        EndpointStatement statement;
        int connection = 0;
        std::function<void(EndpointResult<EndpointReply>)> callback;
    };
    struct ControlCall {
        std::string operation;
        LogPosition position;
        VmId owner;
        std::function<void(EndpointResult<EndpointStatus>)> callback;
    };

    EndpointStatus status;
    bool isReachable = true;
    /** Answers status and claim requests by itself. */
    bool answersControl = true;
    int openConnections = 0;
    int peakConnections = 0;
    std::vector<Call> calls;
    std::vector<ControlCall> controlCalls;

    void answer(
        std::size_t index, LogPosition position, EndpointRole role = EndpointRole::Primary, bool isDuplicate = false)
    {
        calls.at(index).callback(EndpointReply { position, "value", isDuplicate, role, {} });
    }
    void fail(std::size_t index, EndpointErrorCode code, Outcome outcome)
    {
        calls.at(index).callback(EndpointError { code, outcome, "told by the fake", 0 });
    }
};

class FakeEndpointConnection final : public EndpointConnection {
public:
    FakeEndpointConnection(FakeServer& server, int number)
        : server_(server)
        , number_(number)
    {
        server_.peakConnections = std::max(server_.peakConnections, ++server_.openConnections);
    }
    ~FakeEndpointConnection() override { close(); }

    void execute(const EndpointStatement& statement, Duration, ReplyCallback callback) override
    {
        add("execute", statement, std::move(callback));
    }
    void begin(const EndpointStatement& statement, Duration, ReplyCallback callback) override
    {
        add("begin", statement, std::move(callback));
    }
    void commit(const EndpointStatement& statement, Duration, ReplyCallback callback) override
    {
        add("commit", statement, std::move(callback));
    }
    void rollback(const EndpointStatement& statement, Duration, ReplyCallback callback) override
    {
        add("rollback", statement, std::move(callback));
    }
    bool isOpen() const override { return isOpen_; }
    void close() override
    {
        if (isOpen_)
            --server_.openConnections;
        isOpen_ = false;
    }
    void onIdleClose(std::function<void()>) override { }

private:
    void add(const char* operation, const EndpointStatement& statement, ReplyCallback callback)
    {
        server_.calls.push_back({ operation, statement, number_,
            [this, callback = std::move(callback)](EndpointResult<EndpointReply> result) {
                const bool isInDoubt = !result && result.error().code == EndpointErrorCode::ConnectionLost;
                if (isInDoubt)
                    close();
                callback(std::move(result));
            } });
    }

    FakeServer& server_;
    int number_;
    bool isOpen_ = true;
};

class FakeEndpointControl final : public EndpointControl {
public:
    explicit FakeEndpointControl(FakeServer& server)
        : server_(server)
    {
    }

    void status(Duration, StatusCallback callback) override { answerOrRecord("status", {}, {}, std::move(callback)); }
    void waitForPosition(LogPosition position, Milliseconds, Duration, StatusCallback callback) override
    {
        server_.controlCalls.push_back({ "wait", position, {}, std::move(callback) });
    }
    void raiseTerm(Term term, const VmId& owner, Duration, StatusCallback callback) override
    {
        server_.controlCalls.push_back({ "raise", { term, 0 }, owner, std::move(callback) });
    }
    void promote(Term term, Duration, StatusCallback callback) override
    {
        server_.controlCalls.push_back({ "promote", { term, 0 }, {}, std::move(callback) });
    }
    void follow(Term term, const EndpointId&, const std::string&, Duration, StatusCallback callback) override
    {
        server_.controlCalls.push_back({ "follow", { term, 0 }, {}, std::move(callback) });
    }
    void claim(std::uint64_t expectedEpoch, const VmId& owner, Duration, StatusCallback callback) override
    {
        if (expectedEpoch == server_.status.claim.epoch)
            server_.status.claim = { expectedEpoch + 1, owner };
        answerOrRecord("claim", {}, owner, std::move(callback));
    }

private:
    void answerOrRecord(const char* operation, LogPosition position, const VmId& owner, StatusCallback callback)
    {
        if (!server_.isReachable)
            return callback(EndpointError { EndpointErrorCode::ConnectionLost, Outcome::NotRun, "unreachable", 0 });
        if (server_.answersControl)
            return callback(server_.status);
        server_.controlCalls.push_back({ operation, position, owner, std::move(callback) });
    }

    FakeServer& server_;
};

/** Servers by address. Connections open at once, or fail while a server is not reachable. */
class FakeEndpointConnector final : public EndpointConnector {
public:
    void open(const std::string& address, std::uint64_t, Duration, OpenCallback callback) override
    {
        FakeServer& server = servers[address];
        if (!server.isReachable)
            return callback(EndpointError { EndpointErrorCode::ConnectionLost, Outcome::NotRun, "unreachable", 0 });
        callback(std::shared_ptr<EndpointConnection>(std::make_shared<FakeEndpointConnection>(server, ++lastNumber_)));
    }
    std::shared_ptr<EndpointControl> control(const std::string& address) override
    {
        return std::make_shared<FakeEndpointControl>(servers[address]);
    }

    std::map<std::string, FakeServer> servers;

private:
    int lastNumber_ = 0;
};

} // namespace almondlever
