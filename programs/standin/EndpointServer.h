#pragma once

#include "DatabaseServer.h"
#include "FileJournal.h"
#include "ReplicationSource.h"
#include "ReplicationStream.h"
#include "ServiceTime.h"
#include "StandinHttpServer.h"

#include <deque>
#include <functional>
#include <list>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace almondlever::standin {

/** Settings of one database server, from the configuration file. */
struct EndpointSettings {
    EndpointId id;
    std::string database;
    Place place;
    HttpAddress address;
    /** Where replicas connect, apart from the limited connections. */
    HttpAddress replicationAddress;
    std::size_t slots = 1;
    std::size_t connections = 10;
    Milliseconds openTime { 0 };
    ServiceTimeSettings serviceTime;
    Milliseconds lag { 0 };
    std::uint32_t seed = 1;
    /** Primary of term 1 when the server starts without a journal; empty starts as a replica that follows none. */
    EndpointId initialPrimary;
    /** File that keeps the state; empty keeps it in memory. */
    std::string journalPath;
};

/** One database server over HTTP: connections, slots, transactions, long polls and replication. */
class EndpointServer {
public:
    /** Gives the replication address of an endpoint, nullopt when it is not known. */
    using Directory = std::function<std::optional<HttpAddress>(const EndpointId&)>;

    /** Throws std::system_error when the journal cannot be used. */
    EndpointServer(asio::io_context&, NetworkModel&, EndpointSettings, Directory);
    ~EndpointServer();
    EndpointServer(const EndpointServer&) = delete;
    EndpointServer& operator=(const EndpointServer&) = delete;

    /** Listens, at the ports of an earlier start if there was one; the error says why that fails. */
    Result<Done, std::string> start();
    /** Begins replication; called when the directory knows all addresses. */
    void beginReplication();

    /** Closes all connections and refuses new ones; data, term and claim stay. */
    void kill();
    Result<Done, std::string> restart();
    /** Accepts connections and requests but does nothing until resume. */
    void pause();
    void resume();
    void setLag(Milliseconds lag) { settings_.lag = lag; }
    void setServiceTime(const ServiceTimeSettings& serviceTime) { serviceTime_.change(serviceTime); }

    const EndpointSettings& settings() const { return settings_; }
    HttpAddress address() const { return server_.address(); }
    HttpAddress replicationAddress() const { return replicationServer_.address(); }
    /** Counters and state for the control interface. */
    nlohmann::json statistics() const;
    /** Entries of the log without their values, for checks of what was acknowledged. */
    nlohmann::json describeLog() const;

private:
    using Connection = StandinHttpServer::Connection;

    struct ConnectionState {
        bool isOpened = false;
        bool isRunning = false;
        bool closeWhenIdle = false;
        /** Epoch of the claim under which the connection sent its last statement; zero before the first. */
        std::uint64_t epoch = 0;
        std::optional<Transaction> transaction;
    };
    struct PositionWait {
        Connection connection;
        LogPosition position;
        Term promisedTerm = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };
    struct LaggingMessage {
        TimePoint due;
        TimePoint asOf;
        ReplicationMessage message;
    };

    void receive(const Connection&, const StandinRequest&);
    void open(const Connection&, const StandinRequest&);
    void dispatch(const Connection&, const StandinRequest&);
    void dispatchStatement(const Connection&, const StandinRequest&);
    void dispatchControl(const Connection&, const StandinRequest&);
    DatabaseServer::Checked control(const StandinRequest&);
    void runStatement(const Connection&, const EndpointStatement&);
    void begin(const Connection&, const EndpointStatement&);
    void commit(const Connection&, const EndpointStatement&);
    void rollback(const Connection&, const EndpointStatement&);
    void serveInSlot(const Connection&, std::function<void()> work);
    void finishInSlot(std::uint64_t connection, const std::function<void()>& work);
    void respond(const Connection&, const EndpointResult<EndpointReply>&);
    void refuseStatement(const Connection&, const EndpointError&);
    void waitForPosition(const Connection&, const StandinRequest&);
    void answerWaits();
    void respondStatus(const Connection&);
    void closeSupersededConnections(bool endsTransactions);
    void closeSilentConnections(TimePoint acceptedBefore);
    void forget(const Connection&);
    void afterChange();
    void scheduleSend();
    void scheduleHeartbeat();
    void updateReplication();
    void openReplication();
    void retryReplication();
    void receiveBatch(const ReplicationMessage&, TimePoint asOf);
    void applyBatch(const ReplicationMessage&, TimePoint asOf);
    void startLagTimer();
    /** Runs an action now, or on resume when the server is paused. */
    void runUnlessPaused(std::function<void()>);
    ConnectionState* findState(std::uint64_t connection);

    asio::io_context& context_;
    EndpointSettings settings_;
    Directory directory_;
    std::unique_ptr<FileJournal> journal_;
    DatabaseServer database_;
    ReplicationSource source_;
    StandinHttpServer server_;
    StandinHttpServer replicationServer_;
    ServiceTime serviceTime_;
    std::unordered_map<std::uint64_t, ConnectionState> states_;
    std::list<PositionWait> waits_;
    std::deque<std::function<void()>> pausedActions_;
    std::shared_ptr<ReplicationStream> stream_;
    Term streamTerm_ = 0;
    EndpointId streamPrimary_;
    std::deque<LaggingMessage> lagging_;
    asio::steady_timer lagTimer_;
    asio::steady_timer retryTimer_;
    asio::steady_timer heartbeatTimer_;
    bool isRunning_ = false;
    bool isPaused_ = false;
    bool isSendScheduled_ = false;
    std::size_t slotsInUse_ = 0;
    std::size_t peakSlots_ = 0;
    std::uint64_t refusedConnections_ = 0;
    std::uint64_t refusedBusy_ = 0;
    /** Rises with each kill, so that timers of work begun before do nothing. */
    std::uint64_t generation_ = 0;
    /** Lets handlers that outlive the server see that it is gone. */
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace almondlever::standin
