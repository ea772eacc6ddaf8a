#include "almondlever/control/GroupObserver.h"

#include "almondlever/observability/DecisionLog.h"

#include <string>

namespace almondlever {

struct GroupObserver::State : std::enable_shared_from_this<GroupObserver::State> {
    State(const DatabaseDescription& group, VmId vm, std::uint64_t nonce, const FailoverSettings& failoverSettings,
        EndpointConnector& connector, TimerService& timerService, GroupObserverHooks observerHooks)
        : database(group)
        , self(std::move(vm))
        , proposer(self.text() + '.' + std::to_string(nonce))
        , settings(failoverSettings)
        , timers(timerService)
        , hooks(std::move(observerHooks))
        , coordinator(makeFailoverCoordinator(group, self, failoverSettings, timerService.now()))
    {
        for (const EndpointDescription& endpoint : database.endpoints) {
            addresses[endpoint.id] = endpoint.address;
            controls[endpoint.id] = connector.control(endpoint.address);
        }
    }

    /** Performs actions, then calls hooks.changed if the known primary or the state of the write pause changed. */
    void apply(const FailoverActions& actions)
    {
        for (const FailoverAction& action : actions)
            std::visit([this](const auto& detail) { perform(detail); }, action);
        const auto view = coordinator->primary();
        const bool isPaused = coordinator->wantsWritesPaused();
        const bool isSame = view.has_value() == lastView.has_value()
            && (!view || (view->term == lastView->term && view->primary == lastView->primary))
            && isPaused == lastWritesPaused;
        if (isSame)
            return;
        lastView = view;
        lastWritesPaused = isPaused;
        hooks.changed();
    }

    using Handler = FailoverActions (FailoverCoordinator::*)(
        const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint);

    EndpointControl::StatusCallback replyCallback(Handler handler, const EndpointId& endpoint, Term term)
    {
        return [self = shared_from_this(), handler, endpoint, term](const EndpointResult<EndpointStatus>& result) {
            if (!self->isStopped)
                self->apply((self->coordinator.get()->*handler)(endpoint, term, result, self->timers.now()));
        };
    }

    void perform(const ProbeAction& action)
    {
        controls[action.endpoint]->status(settings.probeTimeout,
            [self = shared_from_this(), endpoint = action.endpoint](const EndpointResult<EndpointStatus>& result) {
                if (!self->isStopped)
                    self->apply(self->coordinator->onStatus(endpoint, result, self->timers.now()));
            });
    }
    void perform(const RaiseTermAction& action)
    {
        controls[action.endpoint]->raiseTerm(action.term, proposer, settings.operationTimeout,
            replyCallback(&FailoverCoordinator::onTermReply, action.endpoint, action.term));
    }
    void perform(const PromoteAction& action)
    {
        controls[action.endpoint]->promote(action.term, settings.operationTimeout,
            replyCallback(&FailoverCoordinator::onPromoteReply, action.endpoint, action.term));
    }
    void perform(const FollowAction& action)
    {
        controls[action.endpoint]->follow(action.term, action.primary, addresses[action.primary],
            settings.operationTimeout,
            replyCallback(&FailoverCoordinator::onFollowReply, action.endpoint, action.term));
    }
    void perform(const ReportSuspicionAction& action) { hooks.sendSuspicion(action.report); }
    void perform(const AnnouncePrimaryAction& action) { hooks.announce(action.view); }
    void perform(const LogDecisionAction& action)
    {
        logInfo("primary_change",
            { { "database", action.database.text() }, { "decision", action.decision }, { "reason", action.reason } });
    }

    DatabaseDescription database;
    VmId self;
    /** Sent with requests to promise a term. Unique to this object, since a server repeats its promise to the same
     * proposer. */
    VmId proposer;
    FailoverSettings settings;
    TimerService& timers;
    GroupObserverHooks hooks;
    std::unique_ptr<FailoverCoordinator> coordinator;
    std::map<EndpointId, std::string> addresses;
    std::map<EndpointId, std::shared_ptr<EndpointControl>> controls;
    std::vector<VmId> others;
    std::optional<PrimaryView> lastView;
    bool lastWritesPaused = false;
    bool isStopped = false;
};

GroupObserver::GroupObserver(const DatabaseDescription& database, const VmId& self, std::uint64_t nonce,
    const FailoverSettings& settings, EndpointConnector& connector, TimerService& timers, GroupObserverHooks hooks)
    : state_(std::make_shared<State>(database, self, nonce, settings, connector, timers, std::move(hooks)))
{
}

GroupObserver::~GroupObserver() { state_->isStopped = true; }

void GroupObserver::setObservers(const std::vector<std::pair<VmId, FailureDomainId>>& observers)
{
    state_->others.clear();
    for (const auto& [vm, unused] : observers) {
        if (vm != state_->self)
            state_->others.push_back(vm);
    }
    state_->coordinator->setObservers(observers);
}

void GroupObserver::setLeaving(const std::set<EndpointId>& leaving) { state_->coordinator->setLeaving(leaving); }

void GroupObserver::onTick(TimePoint now) { state_->apply(state_->coordinator->onTick(now)); }

void GroupObserver::onSuspicion(const SuspicionReport& report, TimePoint now)
{
    state_->apply(state_->coordinator->onSuspicion(report, now));
}

void GroupObserver::onAnnouncement(const PrimaryView& view, TimePoint now)
{
    state_->apply(state_->coordinator->onAnnouncement(view, now));
}

void GroupObserver::onPrimaryAnswered(const EndpointId& endpoint, Term term, TimePoint now)
{
    state_->coordinator->onPrimaryAnswered(endpoint, term, now);
}

void GroupObserver::onPrimaryFailed(const EndpointId& endpoint, TimePoint now)
{
    state_->apply(state_->coordinator->onPrimaryFailed(endpoint, now));
}

void GroupObserver::onWritesPaused(LogPosition logEnd, TimePoint now)
{
    state_->apply(state_->coordinator->onWritesPaused(logEnd, now));
}

const std::vector<VmId>& GroupObserver::otherObservers() const { return state_->others; }

std::optional<PrimaryView> GroupObserver::primary() const { return state_->coordinator->primary(); }

bool GroupObserver::wantsWritesPaused() const { return state_->coordinator->wantsWritesPaused(); }

} // namespace almondlever
