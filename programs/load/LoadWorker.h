#pragma once

#include "ArrivalSchedule.h"
#include "CallerSession.h"
#include "StatementSender.h"
#include "Workload.h"

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace almondlever::load {

/**
 * One thread of load: makes its share of the arrivals of every caller, hands each to an idle session and runs it, with
 * repeats, to its end.
 *
 * @see ArrivalSchedule, StatementSender
 */
class LoadWorker {
public:
    LoadWorker(const Workload&, RunContext&, std::size_t index);
    ~LoadWorker();

    /** Runs until the last request has ended. */
    void run();

    std::vector<Operation>& operations() { return sender_.operations(); }
    /** Arrivals that were not sent because the caller had too many requests in flight, by phase and caller. */
    const std::map<std::pair<std::string, std::string>, std::uint64_t>& unsentArrivals() const { return unsent_; }

private:
    struct CallerState;
    struct TransactionRun;
    using Done = std::function<void(const Operation&, const AnswerDetails&)>;

    bool isFinished() const;
    void tick();
    void startRequest(CallerState&, Duration arrival);
    CallerSession* takeSession(CallerState&);
    void endRequest(CallerState&, CallerSession&);

    void startRead(CallerState&, CallerSession&, Microseconds arrival);
    void startWrite(CallerState&, CallerSession&, Microseconds arrival);
    void startTransaction(CallerState&, CallerSession&, Microseconds arrival);
    void continueTransaction(const std::shared_ptr<TransactionRun>&);
    void endTransaction(const std::shared_ptr<TransactionRun>&);

    /** Sends and repeats as the workload allows; calls back once with the last attempt. */
    void sendWithRepeats(CallerSession&, OutgoingOperation, std::size_t repeats, Done);
    /** Sends one attempt and keeps the session's token and times up to date. */
    void sendOnce(CallerSession&, OutgoingOperation, Done);
    /** Time to wait before a repeat; none when the request is not to be repeated. */
    std::optional<Milliseconds> repeatDelay(const Operation&, std::size_t repeatsDone);

    OutgoingOperation makeOperation(CallerSession&, OperationType, Microseconds arrival);
    std::string makeValue(CallerSession&, const std::string& key);
    std::string privateKey(const CallerSession&, std::size_t number) const;
    std::string sharedKey(const std::string& caller, std::size_t number) const;
    void pickKeyToRead(const CallerSession&, Operation&);
    void rememberKey(const Operation&);
    bool decide(double share);
    std::size_t pick(std::size_t count);

    const Workload& workload_;
    RunContext& run_;
    std::size_t index_;
    asio::io_context context_;
    StatementSender sender_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<CallerState>> callers_;
    /** Keys written lately by any session, as (database, key). */
    std::deque<std::pair<std::string, std::string>> recentKeys_;
    std::map<std::pair<std::string, std::string>, std::uint64_t> unsent_;
};

} // namespace almondlever::load
