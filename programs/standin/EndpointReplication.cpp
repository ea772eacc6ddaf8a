// The part of EndpointServer that sends its log to replicas and receives that of its primary.
#include "EndpointServer.h"

#include <asio.hpp>

namespace almondlever::standin {

namespace {

    /** Replicas date their data by messages of their primary, so staleness is known to about this resolution. */
    constexpr Milliseconds heartbeatInterval { 50 };
    constexpr Milliseconds replicationRetryInterval { 100 };

} // namespace

void EndpointServer::scheduleSend()
{
    if (isSendScheduled_)
        return;
    isSendScheduled_ = true;
    // Entries of all statements that ended in the same turn of the loop go into one batch.
    asio::post(context_, [this, alive = isAlive_] {
        if (!*alive)
            return;
        isSendScheduled_ = false;
        if (isRunning_)
            source_.send();
    });
}

void EndpointServer::scheduleHeartbeat()
{
    heartbeatTimer_.expires_after(heartbeatInterval);
    heartbeatTimer_.async_wait([this, alive = isAlive_](std::error_code error) {
        if (error || !*alive || !isRunning_)
            return;
        if (!isPaused_)
            source_.sendHeartbeats();
        scheduleHeartbeat();
    });
}

void EndpointServer::updateReplication()
{
    const DurableState& state = database_.state();
    const bool shouldFollow = isRunning_ && !state.following.isEmpty();
    const bool isCurrent = stream_ && streamTerm_ == state.promisedTerm && streamPrimary_ == state.following;
    if (shouldFollow && isCurrent)
        return;
    if (stream_)
        stream_->close();
    stream_.reset();
    lagging_.clear();
    lagTimer_.cancel();
    retryTimer_.cancel();
    if (shouldFollow)
        openReplication();
}

void EndpointServer::openReplication()
{
    const DurableState& state = database_.state();
    auto address = directory_(state.following);
    if (!address) {
        const auto told = parseHttpAddress(state.followingAddress);
        if (!told)
            return retryReplication();
        address = told.value();
    }
    streamTerm_ = state.promisedTerm;
    streamPrimary_ = state.following;
    const ReplicationRequest request { state.promisedTerm, settings_.id, database_.log().termEnds() };
    stream_ = ReplicationStream::open(context_, *address, settings_.place.vm, request,
        { [this](const ReplicationMessage& message, TimePoint asOf) {
             runUnlessPaused([this, message, asOf, stream = stream_] {
                 if (stream == stream_)
                     receiveBatch(message, asOf);
             });
         },
            [this] {
                stream_.reset();
                retryReplication();
            } });
}

void EndpointServer::retryReplication()
{
    retryTimer_.expires_after(replicationRetryInterval);
    retryTimer_.async_wait([this, alive = isAlive_](std::error_code error) {
        if (!error && *alive)
            updateReplication();
    });
}

void EndpointServer::receiveBatch(const ReplicationMessage& message, TimePoint asOf)
{
    if (settings_.lag.count() == 0 && lagging_.empty())
        return applyBatch(message, asOf);
    lagging_.push_back({ Clock::now() + settings_.lag, asOf, message });
    if (lagging_.size() == 1)
        startLagTimer();
}

void EndpointServer::startLagTimer()
{
    lagTimer_.expires_at(lagging_.front().due);
    lagTimer_.async_wait([this, alive = isAlive_](std::error_code error) {
        if (error || !*alive)
            return;
        runUnlessPaused([this] {
            if (lagging_.empty() || lagging_.front().due > Clock::now())
                return;
            const LaggingMessage due = std::move(lagging_.front());
            lagging_.pop_front();
            applyBatch(due.message, due.asOf);
            if (!lagging_.empty())
                startLagTimer();
        });
    });
}

void EndpointServer::applyBatch(const ReplicationMessage& message, TimePoint asOf)
{
    const auto applied = database_.applyBatch(message.batch, asOf);
    if (!applied) {
        // The stream does not fit the log any more, for example after a change of the term; a new one will.
        if (stream_)
            stream_->close();
        stream_.reset();
        lagging_.clear();
        return retryReplication();
    }
    answerWaits();
}

} // namespace almondlever::standin
