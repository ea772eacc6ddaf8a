#pragma once

#include "FakeTimerService.h"
#include "almondlever/pooling/EndpointLink.h"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondlever {

/** A statement of a caller as an endpoint ran it. */
struct RunStatement {
    EndpointId endpoint;
    std::size_t connection = 0;
    std::string id;
    std::string text;
    bool wasInTransaction = false;
    std::map<std::string, std::string> values;
    /** The customer that the endpoint was told when the connection was opened. */
    CustomerId customer;
    /** Executions only: what the endpoint has under the name. */
    PreparedStatement prepared;
    /** Number of the transaction, over all endpoints; 0 outside of transactions. */
    std::size_t transaction = 0;
    /** Unlike that of any other run. */
    std::string signature;
};

/**
 * Endpoints in virtual time: each serves its connections with a few slots and one queue in order of arrival, as the
 * platform's servers do. Tests set roles, positions and faults.
 */
class FakeEndpoints final : public EndpointConnector {
public:
    struct Server {
        bool leads = false;
        LogPosition position { 1, 100 };
        std::size_t slots = 2;
        std::size_t queueLimit = 24;
        Milliseconds work { 10 };
        Milliseconds distance { 1 };
        /** Accepts nothing and answers nothing. */
        bool isSilent = false;
        /** Ends connections and refuses new ones. */
        bool isDown = false;
        /** Another server uses its address. */
        bool isElsewhere = false;
        std::size_t maximumConnections = 1000;
        /** False while its log is empty. */
        bool reportsPosition = true;
        /** Answers that are lost: the connection closes after the run. */
        std::size_t lostAnswers = 0;
        /** Selects answers that come a second time, repeatDelay after the first. */
        std::function<bool(const Reply&)> repeats;
        Milliseconds repeatDelay { 5 };
        /** Runs the next command of a connection while the answer to the one before is on its way. */
        bool isPipelined = false;
        /** Statements in a transaction that are answered with success after the endpoint has ended the transaction. */
        std::size_t droppedTransactions = 0;
        /** Number of commands after which a connection fails while it sends, as one whose peer does not read. */
        std::size_t commandsUntilFull = std::numeric_limits<std::size_t>::max();
        /** Connections opened before this number return nothing further. */
        std::size_t deafBefore = 0;
        /** Never acknowledges a write, as a primary that no replica hears; all else is answered. */
        bool stallsWrites = false;
        Term pausedIn = 0;
        /** Answers an order to step down as a statement that it does not know. */
        bool knowsStepDown = true;
        /** Commits just before it steps down, acknowledged with the help of an endpoint that is not listed. */
        std::uint64_t unseenCommits = 0;
        std::size_t connections = 0;
        std::size_t openedConnections = 0;
        std::size_t running = 0;
        std::deque<std::function<void()>> queue;
        /** Commands of all connections. */
        std::size_t commands = 0;
        /** Statements refused because the queue was full. */
        std::size_t refused = 0;
    };

    explicit FakeEndpoints(FakeTimerService& timers)
        : timers_(timers)
    {
    }

    Server& server(const EndpointId& id) { return servers_[id]; }
    const std::vector<RunStatement>& runs() const { return runs_; }
    /** Number of the connection that was ordered last. */
    std::size_t lastConnection() const { return lastConnection_; }
    /** Signature of the last run of a caller's statement; empty if it did not run. */
    std::string signatureOf(const std::string& id) const;
    /** Number of runs of a caller's statement. */
    std::size_t runsOf(const std::string& id) const;
    void crash(const EndpointId&);

    /** Replicas that are neither down nor paused receive each commit with its acknowledgement. */
    bool replicates = false;

    std::shared_ptr<EndpointLink> connect(
        const EndpointEntry&, const CustomerId&, std::weak_ptr<EndpointLinkObserver>) override;

private:
    class Link;
    friend class Link;

    void replicate(const LogPosition& position)
    {
        if (!replicates)
            return;
        for (auto& [id, server] : servers_) {
            if (!server.leads && !server.isDown && server.pausedIn == 0)
                server.position = position;
        }
    }

    FakeTimerService& timers_;
    std::map<EndpointId, Server> servers_;
    std::vector<RunStatement> runs_;
    std::vector<std::weak_ptr<Link>> links_;
    std::size_t lastConnection_ = 0;
    std::size_t lastTransaction_ = 0;
};

/** One connection of FakeEndpoints. */
class FakeEndpoints::Link final : public EndpointLink, public std::enable_shared_from_this<Link> {
public:
    Link(FakeEndpoints& owner, EndpointId endpoint, CustomerId customer, std::weak_ptr<EndpointLinkObserver> observer,
        std::size_t number)
        : owner_(owner)
        , endpoint_(std::move(endpoint))
        , customer_(std::move(customer))
        , observer_(std::move(observer))
        , number_(number)
    {
    }

    ~Link() override
    {
        if (isCounted_)
            --server().connections;
    }

    void open()
    {
        after(2 * server().distance, [](Link& self) { self.accept(); });
    }

    void send(const EndpointCommand& command) override
    {
        ++server().commands;
        if (++commands_ > server().commandsUntilFull)
            return breakOff("the peer does not read");
        waiting_.push_back(command);
        if (waiting_.size() == 1)
            after(server().distance, [](Link& self) { self.handle(); });
    }

    void close() override
    {
        observer_.reset();
        release();
    }

    void breakOff(const std::string& reason, std::optional<StatementError> refusal = std::nullopt)
    {
        release();
        const auto observer = observer_.lock();
        observer_.reset();
        if (observer)
            observer->onLinkClosed(reason, refusal, owner_.timers_.now());
    }

    const EndpointId& endpoint() const { return endpoint_; }

private:
    Server& server() { return owner_.servers_[endpoint_]; }

    void after(Duration delay, std::function<void(Link&)> step)
    {
        owner_.timers_.callAfter(delay, [weak = weak_from_this(), step](TimePoint) {
            if (const auto self = weak.lock())
                step(*self);
        });
    }

    void accept()
    {
        if (server().isSilent)
            return;
        if (server().isDown)
            return breakOff("connection refused");
        if (server().isElsewhere)
            return breakOff("another server", StatementError::Misrouted);
        if (server().connections >= server().maximumConnections)
            return breakOff("too many", StatementError::TooManyConnections);
        ++server().connections;
        ++server().openedConnections;
        isCounted_ = true;
        Reply reply;
        reply.position = server().position;
        if (const auto observer = observer_.lock())
            observer->onLinkOpened(reply, owner_.timers_.now());
    }

    void release()
    {
        if (isCounted_)
            --server().connections;
        isCounted_ = false;
    }

    void handle()
    {
        if (server().isSilent || waiting_.empty() || number_ < server().deafBefore)
            return;
        const EndpointCommand command = waiting_.front();
        const bool needsSlot
            = command.kind == EndpointCommand::Kind::Forward || command.kind == EndpointCommand::Kind::ForwardPrepared;
        if (!needsSlot)
            return answer(execute(command), false);
        const auto refusal = refusalOf(command);
        if (refusal)
            return answer(makeError(*refusal), false);
        const auto run = [weak = weak_from_this(), command] {
            if (const auto self = weak.lock())
                self->runInSlot(command);
        };
        if (server().running < server().slots) {
            ++server().running;
            return run();
        }
        if (server().queue.size() >= server().queueLimit) {
            ++server().refused;
            return answer(makeError(StatementError::Busy), false);
        }
        server().queue.push_back(run);
    }

    void runInSlot(const EndpointCommand& command)
    {
        FakeEndpoints& owner = owner_;
        const EndpointId endpoint = endpoint_;
        owner_.timers_.callAfter(server().work, [&owner, endpoint, weak = weak_from_this(), command](TimePoint) {
            Server& server = owner.servers_[endpoint];
            if (server.queue.empty()) {
                --server.running;
            } else {
                const auto next = server.queue.front();
                server.queue.pop_front();
                next();
            }
            if (const auto self = weak.lock()) {
                if (!server.stallsWrites || !self->acknowledgesWrite(command))
                    self->answer(self->execute(command), true);
            }
        });
    }

    bool isWrite(const EndpointCommand& command) const
    {
        const auto prepared = prepared_.find(command.name);
        return command.kind == EndpointCommand::Kind::ForwardPrepared
            ? prepared != prepared_.end() && prepared->second.isWrite
            : command.text.rfind("WRITE", 0) == 0;
    }

    bool acknowledgesWrite(const EndpointCommand& command) const
    {
        return (isWrite(command) && state_ == TransactionState::None) || (command.text == "COMMIT" && hasWritten_);
    }

    std::optional<StatementError> refusalOf(const EndpointCommand& command)
    {
        if (command.after && server().position < *command.after)
            return StatementError::Lagging;
        if (isWrite(command) && !server().leads)
            return StatementError::ReadOnly;
        if (state_ == TransactionState::Open && !isReadOnly_ && !server().leads && command.text != "COMMIT")
            return StatementError::ReadOnly;
        if (command.kind == EndpointCommand::Kind::ForwardPrepared && prepared_.count(command.name) == 0)
            return StatementError::UnknownStatement;
        return std::nullopt;
    }

    /** A rollback undoes what was set and prepared since. */
    void beginTransaction()
    {
        transaction_ = ++owner_.lastTransaction_;
        valuesBefore_ = values_;
        preparedBefore_ = prepared_;
    }

    Reply makeError(StatementError error)
    {
        Reply reply;
        reply.error = error;
        if (state_ == TransactionState::Open)
            state_ = TransactionState::Failed;
        reply.state = state_;
        reply.position = server().position;
        return reply;
    }

    Reply execute(const EndpointCommand& command)
    {
        Reply reply;
        reply.detail = "-";
        switch (command.kind) {
        case EndpointCommand::Kind::Begin:
            if (!server().leads)
                return makeError(StatementError::ReadOnly);
            state_ = TransactionState::Open;
            isReadOnly_ = false;
            beginTransaction();
            break;
        case EndpointCommand::Kind::BeginReadOnly:
            if (command.after && server().position < *command.after)
                return makeError(StatementError::Lagging);
            state_ = TransactionState::Open;
            isReadOnly_ = true;
            beginTransaction();
            break;
        case EndpointCommand::Kind::Rollback:
            if (state_ != TransactionState::None) {
                values_ = valuesBefore_;
                prepared_ = preparedBefore_;
            }
            state_ = TransactionState::None;
            break;
        case EndpointCommand::Kind::SetValue:
            values_[command.name] = command.argument;
            break;
        case EndpointCommand::Kind::Prepare:
            prepared_[command.name] = { command.isWriteShape, command.argument };
            break;
        case EndpointCommand::Kind::Reset:
            values_.clear();
            prepared_.clear();
            break;
        case EndpointCommand::Kind::PauseReplication:
            server().pausedIn = command.term;
            reply.replication = EndpointReplicationStatus { server().leads, server().position.term, server().position };
            break;
        case EndpointCommand::Kind::ResumeReplication:
            server().pausedIn = 0;
            reply.replication = EndpointReplicationStatus { server().leads, server().position.term, server().position };
            break;
        case EndpointCommand::Kind::StepDown:
            if (!server().knowsStepDown)
                return makeError(StatementError::Malformed);
            server().leads = false;
            server().position.index += server().unseenCommits;
            reply.replication = EndpointReplicationStatus { server().leads, server().position.term, server().position };
            break;
        case EndpointCommand::Kind::QueryStatus:
            reply.replication = EndpointReplicationStatus { server().leads, server().position.term, server().position };
            break;
        case EndpointCommand::Kind::Forward:
        case EndpointCommand::Kind::ForwardPrepared:
            run(command, reply);
            if (server().droppedTransactions > 0 && state_ == TransactionState::Open) {
                --server().droppedTransactions;
                state_ = TransactionState::None;
            }
            break;
        }
        reply.state = state_;
        if (server().reportsPosition)
            reply.position = server().position;
        return reply;
    }

    void run(const EndpointCommand& command, Reply& reply)
    {
        const std::string text
            = command.kind == EndpointCommand::Kind::Forward ? command.text : command.name + ' ' + command.argument;
        reply.detail = "signed-by-" + endpoint_.text() + '-' + std::to_string(owner_.runs_.size() + 1);
        owner_.runs_.push_back({ endpoint_, number_, command.id, text, state_ != TransactionState::None, values_,
            customer_,
            command.kind == EndpointCommand::Kind::ForwardPrepared ? prepared_.at(command.name) : PreparedStatement(),
            state_ == TransactionState::None ? 0 : transaction_, reply.detail });
        const bool isWriteStatement = isWrite(command);
        if (isWriteStatement)
            hasWritten_ = true;
        const bool commits = text == "COMMIT" || (isWriteStatement && state_ == TransactionState::None);
        if (commits && hasWritten_) {
            ++server().position.index;
            owner_.replicate(server().position);
        }
        if (text == "COMMIT")
            state_ = TransactionState::None;
        if (commits)
            hasWritten_ = false;
    }

    void answer(Reply reply, bool mayBeLost)
    {
        if (mayBeLost && server().lostAnswers > 0) {
            --server().lostAnswers;
            return breakOff("connection lost");
        }
        const bool isPipelined = server().isPipelined;
        if (isPipelined)
            startNext();
        after(server().distance, [reply, isPipelined](Link& self) {
            if (self.server().isSilent)
                return;
            if (!isPipelined)
                self.startNext();
            if (self.server().repeats && self.server().repeats(reply))
                self.after(self.server().repeatDelay, [reply](Link& later) { later.deliver(reply); });
            self.deliver(reply);
        });
    }

    void startNext()
    {
        waiting_.pop_front();
        if (!waiting_.empty())
            after(Duration(0), [](Link& next) { next.handle(); });
    }

    void deliver(const Reply& reply)
    {
        if (const auto observer = observer_.lock())
            observer->onLinkReply(Reply(reply), owner_.timers_.now());
    }

    FakeEndpoints& owner_;
    EndpointId endpoint_;
    CustomerId customer_;
    std::weak_ptr<EndpointLinkObserver> observer_;
    std::size_t number_;
    std::deque<EndpointCommand> waiting_;
    std::size_t commands_ = 0;
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedStatement> prepared_;
    std::map<std::string, std::string> valuesBefore_;
    std::map<std::string, PreparedStatement> preparedBefore_;
    TransactionState state_ = TransactionState::None;
    std::size_t transaction_ = 0;
    bool isReadOnly_ = false;
    bool hasWritten_ = false;
    bool isCounted_ = false;
};

inline std::shared_ptr<EndpointLink> FakeEndpoints::connect(
    const EndpointEntry& entry, const CustomerId& customer, std::weak_ptr<EndpointLinkObserver> observer)
{
    const auto link = std::make_shared<Link>(*this, entry.id, customer, std::move(observer), ++lastConnection_);
    links_.push_back(link);
    link->open();
    return link;
}

inline std::size_t FakeEndpoints::runsOf(const std::string& id) const
{
    std::size_t count = 0;
    for (const RunStatement& run : runs_)
        count += run.id == id ? 1 : 0;
    return count;
}

inline std::string FakeEndpoints::signatureOf(const std::string& id) const
{
    std::string signature;
    for (const RunStatement& run : runs_)
        signature = run.id == id ? run.signature : signature;
    return signature;
}

inline void FakeEndpoints::crash(const EndpointId& id)
{
    servers_[id].isDown = true;
    servers_[id].leads = false;
    const std::vector<std::weak_ptr<Link>> links = links_;
    for (const auto& weak : links) {
        const auto link = weak.lock();
        if (link && link->endpoint() == id)
            link->breakOff("connection reset");
    }
}

} // namespace almondlever
