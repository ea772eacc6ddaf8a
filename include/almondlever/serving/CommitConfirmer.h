#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/config/Configuration.h"
#include "almondlever/consistency/CommitTracker.h"
#include "almondlever/endpoints/EndpointConnection.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace almondlever {

/**
 * Confirms for the daemon that serves the primary that a majority of the group's servers has reached a log position, or
 * still accepts the primary's term.
 *
 * At most one position wait and one status request are outstanding for each other server, regardless of the number
 * of writes in flight.
 *
 * @see CommitTracker, which evaluates the servers' reports
 */
class CommitConfirmer {
public:
    using Callback = std::function<void(Confirmation::Verdict, TimePoint now)>;

    CommitConfirmer(const DatabaseDescription&, EndpointId primary, EndpointConnector&, TimerService&);
    ~CommitConfirmer();
    CommitConfirmer(const CommitConfirmer&) = delete;
    CommitConfirmer& operator=(const CommitConfirmer&) = delete;

    /** Waits until a majority has reached a position that the primary reported in the term of that position. */
    void awaitPosition(LogPosition, TimePoint deadline, TimePoint now, Callback);
    /**
     * Waits until a majority has reported, in answer to requests sent at or after sentAt, that it has promised no later
     * term. The primary's answer to a statement that was sent at sentAt counts as the primary's own report.
     */
    void awaitLeadership(LogPosition answered, TimePoint sentAt, TimePoint deadline, TimePoint now, Callback);
    /** Ends waits whose deadline has passed and repeats requests that failed. */
    void onTick(TimePoint now);

    std::size_t waitingCount() const;
    LogPosition confirmedPosition() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
