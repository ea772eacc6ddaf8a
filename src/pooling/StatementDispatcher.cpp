#include "almondlever/pooling/StatementDispatcher.h"

#include "DispatcherState.h"

namespace almondlever {

StatementDispatcher::StatementDispatcher(EndpointDirectory& directory, EndpointConnector& connector, DecisionLog& log,
    Metrics& metrics, const DispatcherSettings& settings)
    : state_(std::make_unique<DispatcherState>(directory, connector, log, metrics, settings))
{
}

StatementDispatcher::~StatementDispatcher() = default;

Ticket StatementDispatcher::submit(StatementRequest request, StatementCallback callback, TimePoint now)
{
    return state_->submit(std::move(request), std::move(callback), now);
}

Ticket StatementDispatcher::submit(
    const TransactionHandle& transaction, StatementRequest request, StatementCallback callback, TimePoint now)
{
    return state_->submitInTransaction(
        std::static_pointer_cast<LinkTransaction>(transaction), std::move(request), std::move(callback), now);
}

void StatementDispatcher::abandon(Ticket ticket, TimePoint now) { state_->abandon(ticket, now); }

void StatementDispatcher::endTransaction(const TransactionHandle& transaction, TimePoint now)
{
    state_->endTransaction(std::static_pointer_cast<LinkTransaction>(transaction), now);
}

void StatementDispatcher::stepDown(
    const GroupId& group, const EndpointId& endpoint, Term term, StepDownCallback callback, TimePoint now)
{
    state_->stepDown(group, endpoint, term, std::move(callback), now);
}

void StatementDispatcher::setLogHolders(const GroupId& group, std::size_t count)
{
    state_->setLogHolders(group, count);
}

void StatementDispatcher::setMissingLogs(const GroupId& group, std::size_t count)
{
    state_->setMissingLogs(group, count);
}

EndpointConnector& StatementDispatcher::connector() const { return state_->connector(); }

void StatementDispatcher::holdWrites(
    const GroupId& group, bool isHeld, TimePoint now, const EndpointId& leader, Term leaderTerm)
{
    state_->holdWrites(group, isHeld, now, leader, leaderTerm);
}

bool StatementDispatcher::areWritesHeld(const GroupId& group) const { return state_->areWritesHeld(group); }

std::optional<TimePoint> StatementDispatcher::awaitsNewsSince() const { return state_->awaitsNewsSince(); }

void StatementDispatcher::noteNews(TimePoint provenAt, TimePoint now) { state_->noteNews(provenAt, now); }

void StatementDispatcher::endHold(const GroupId& group, TimePoint now) { state_->endHold(group, now); }

void StatementDispatcher::sendReplicationCommand(const EndpointId& endpoint, const EndpointCommand& command,
    ReplicationCommandCallback callback, TimePoint now, std::function<bool(TimePoint)> isCurrent)
{
    state_->sendReplicationCommand(endpoint, command, std::move(callback), now, std::move(isCurrent));
}

GroupReportParticipant* StatementDispatcher::capacityReports() { return state_->capacityReports(); }

void StatementDispatcher::setGroups(const std::map<GroupId, GroupRule>& groups, TimePoint now)
{
    state_->setGroups(groups, now);
}

void StatementDispatcher::setConnectionsByCustomer(bool areByCustomer)
{
    state_->setConnectionsByCustomer(areByCustomer);
}

void StatementDispatcher::setSharing(const std::map<GroupId, std::size_t>& daemons, TimePoint now)
{
    state_->setSharing(daemons, now);
}

void StatementDispatcher::onDirectoryChange(TimePoint now) { state_->onDirectoryChange(now); }

void StatementDispatcher::onTick(TimePoint now) { state_->onTick(now); }

std::optional<TimePoint> StatementDispatcher::primaryFailingSince(const GroupId& group, TimePoint now) const
{
    return state_->primaryFailingSince(group, now);
}

PrimaryOpinion StatementDispatcher::opinionOf(const EndpointId& endpoint, TimePoint since, TimePoint now) const
{
    return state_->opinionOf(endpoint, since, now);
}

std::optional<TimePoint> StatementDispatcher::writesStalledSince(const GroupId& group, TimePoint now) const
{
    return state_->writesStalledSince(group, now);
}

LogPosition StatementDispatcher::acknowledgedPositionOf(const GroupId& group, TimePoint now) const
{
    return state_->acknowledgedPositionOf(group, now);
}

LogPosition StatementDispatcher::acknowledgedToCallers(const GroupId& group) const
{
    return state_->acknowledgedToCallers(group);
}

bool StatementDispatcher::isIdle(const GroupId& group, TimePoint now) const { return state_->isIdle(group, now); }

bool StatementDispatcher::isReachable(const EndpointId& endpoint) const { return state_->isReachable(endpoint); }

} // namespace almondlever
