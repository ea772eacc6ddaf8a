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
 * Asks the servers of a group whether a majority holds a position, on behalf of the daemon that serves the primary.
 *
 * At most one position wait and one status request are outstanding for each other server, whatever the number of
 * writes in flight.
 *
 * @see CommitTracker, which decides
 */
class CommitConfirmer {
public:
    using Callback = std::function<void(Confirmation::Verdict, TimePoint now)>;

    CommitConfirmer(const DatabaseDescription&, EndpointId primary, EndpointConnector&, TimerService&);
    ~CommitConfirmer();
    CommitConfirmer(const CommitConfirmer&) = delete;
    CommitConfirmer& operator=(const CommitConfirmer&) = delete;

    /** Waits until a majority holds a position that the primary reported under the position's term. */
    void awaitPosition(LogPosition, TimePoint deadline, TimePoint now, Callback);
    /**
     * Waits until a majority, asked at or after the given moment, still holds the term. The primary's answer to a
     * statement that was sent at that moment counts as its own report.
     */
    void awaitLeadership(LogPosition answered, TimePoint sentAt, TimePoint deadline, TimePoint now, Callback);
    /** Ends waits whose deadline passed and repeats requests that failed. */
    void onTick(TimePoint now);

    std::size_t waitingCount() const;
    LogPosition confirmedPosition() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
