#pragma once

#include "HistoryFile.h"
#include "Operation.h"
#include "almondlever/transport/AsioTimerService.h"
#include "almondlever/transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace almondlever::load {

/** What the threads of one run share. */
struct RunContext {
    std::vector<HttpAddress> daemons;
    /** Begins every key, so that runs against the same databases do not meet. */
    std::string runId;
    TimePoint start;
    Milliseconds clientLatency { 0 };
    HistoryWriter& history;
    std::atomic<std::uint64_t> nextNumber { 1 };

    Microseconds sinceStart(TimePoint now) const { return std::chrono::duration_cast<Microseconds>(now - start); }
};

/** An operation to be sent, with what only the request carries. */
struct OutgoingOperation {
    Operation operation;
    std::size_t daemon = 0;
    std::string sessionToken;
    /** Name of the transaction as the daemon told it. */
    std::string transactionId;
    Milliseconds deadline { 1000 };
};

/** What an answer tells beyond the operation's record. */
struct AnswerDetails {
    std::string sessionToken;
    std::string transactionId;
};

/**
 * Sends operations to daemons with the client's latency on both ways, fills in their records from the answers and
 * writes them to the history. One for each thread.
 */
class StatementSender {
public:
    using Callback = std::function<void(const Operation&, const AnswerDetails&)>;

    StatementSender(asio::io_context&, RunContext&);

    /** Sends; `sentAt` is kept when it is set, for arrivals that were due a moment ago. */
    void send(OutgoingOperation, Callback);
    /** Picks a daemon at random, another than the given one when there is a choice; avoids those that refused lately.
     */
    std::size_t chooseDaemon(std::size_t previous, std::uint64_t random) const;
    TimerService& timers() { return timers_; }
    /** Operations as answered, in the order of the answers. */
    std::vector<Operation>& operations() { return operations_; }

private:
    struct Sending;

    void transmit(const std::shared_ptr<Sending>&);
    void finish(const std::shared_ptr<Sending>&, const HttpResult&);
    static HttpRequest makeRequest(const Sending&);

    RunContext& run_;
    HttpClient client_;
    AsioTimerService timers_;
    std::vector<Operation> operations_;
    std::vector<TimePoint> avoidUntil_;
};

} // namespace almondlever::load
