#include "SoakRun.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace almondlever::soak {

namespace {

    using Kind = GroupFault::Kind;

    /** Time from the acceptance of a call until the server leads. */
    constexpr Milliseconds promotionEffect { 1000 };
    constexpr double lateCallShare = 0.9;
    /** The shortest lateness of the calls of a disturbance is drawn from these steps. */
    constexpr Milliseconds delayStep { 250 };
    constexpr std::size_t delaySteps = 24;
    constexpr double silentShare = 0.5;
    constexpr double lateOrderShare = 0.5;
    /** Callers write every few tens of milliseconds; a longer time without a success is a gap. */
    constexpr Milliseconds shortestGap { 500 };
    /** A new server may receive from the start, or copies the log first. */
    constexpr int longestCopyMs = 800;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusConflict = 409;

} // namespace

void SoakRun::prepareLateCalls()
{
    lastCalls_.resize(groups_.size());
    callsDelayedUntil_.resize(groups_.size());
    callDelays_.resize(groups_.size());
    lastWrites_.assign(groups_.size(), startedAt_ + startTime);
    for (const auto& group : groups_) {
        group->setTimes(startedAt_, faultsUntil_);
        group->setObserver([this](const std::string& event) { log(event); });
    }
}

void SoakRun::handleLateCall(const std::shared_ptr<HttpExchange>& exchange, std::size_t index, PromotionCall call)
{
    StandinGroup& group = *groups_[index];
    const TimePoint now = Clock::now();
    call.calledAt = now;
    lastCalls_[index] = call;
    for (Armed& armed : armed_) {
        if (armed.fault.group != index || !armed.fault.afterCall || armed.isDue)
            continue;
        armed.isDue = true;
        armed.until = now + *armed.fault.afterCall;
    }
    const auto at = group.drawLateTime(now, callDelays_[index]);
    if (at && now < callsDelayedUntil_[index] && group.drawDelay(lateCallShare)) {
        group.runAt(*at, [this, &group, call, at = *at] {
            const bool isAccepted
                = darkened_.count(call.endpoint) == 0 && group.acceptPromotion(call, promotionEffect, at);
            log("late call for " + call.endpoint.text() + ", fence " + std::to_string(call.fence)
                + (isAccepted ? ", accepted" : ", refused"));
        });
        // An exchange that is given up ends its connection, which its caller notices at once.
        if (group.drawDelay(silentShare))
            unanswered_.push_back(exchange);
        return log("no answer to this call");
    }
    HttpResponse response;
    const bool isAccepted = darkened_.count(call.endpoint) == 0 && group.acceptPromotion(call, promotionEffect, now);
    response.status = isAccepted ? statusOk : statusConflict;
    response.body = "{}";
    exchange->respond(response);
}

void SoakRun::applyLateFault(const GroupFault& fault, TimePoint now)
{
    StandinGroup& group = *groups_[fault.group];
    const TimePoint until = now + fault.duration;
    const std::string time = " for " + std::to_string(fault.duration.count()) + " ms";
    StandinEndpoint* leader = group.find(group.leader());
    switch (fault.kind) {
    case Kind::PartPrimary:
        if (leader)
            partPrimary(*leader, fault, until);
        return;
    case Kind::IsolatePrimary:
        if (!leader)
            return;
        log(leader->id().text() + " reaches no replica" + time);
        isolated_.insert(leader->id());
        leader->faults().isDeaf = true;
        return repairLater(until, [this, &group, id = leader->id()] {
            isolated_.erase(id);
            StandinEndpoint* present = group.find(id);
            if (present && darkened_.count(id) == 0)
                present->faults().isDeaf = false;
        });
    case Kind::DelayCalls:
        callsDelayedUntil_[fault.group] = until;
        callDelays_[fault.group] = StandinGroup::shortestDelay + fault.choice % delaySteps * delayStep;
        return;
    case Kind::DelayOrders:
        log("orders in " + group.id().text() + " are late" + time);
        for (const auto& [id, server] : group.endpoints())
            server->faults().lateOrders = lateOrderShare;
        return repairLater(until, [&group] {
            for (const auto& [id, server] : group.endpoints())
                server->faults().lateOrders = 0;
        });
    case Kind::DeafenCalled: {
        StandinEndpoint* called = group.find(lastCalls_[fault.group].endpoint);
        if (!called || group.leads(*called) || !hasOtherReceiver(group, *called))
            return;
        log("deafness of " + called->id().text() + time);
        called->faults().isDeaf = true;
        return repairLater(until, [this, &group, id = called->id()] {
            StandinEndpoint* present = group.find(id);
            if (present && darkened_.count(id) == 0 && isolated_.count(id) == 0)
                present->faults().isDeaf = false;
        });
    }
    case Kind::SuspendDaemons:
        for (const std::size_t index : daemonsOf(fault))
            suspendDaemon(*daemons_[index], until);
        return;
    case Kind::LeaveReplica:
        if (StandinEndpoint* server = chooseReplica(group, fault.choice, true)) {
            crashServer(group, *server, until);
            store_.remove("servers/" + server->id().text());
            entryOf(server->id())->isListed = false;
        }
        return;
    case Kind::JoinReplica: {
        const std::string name = group.id().text() + 'r' + std::to_string(++replaced_);
        log(name + " joins without a log");
        addEndpoint(group, name, {});
        StandinEndpoint& joined = *group.find(EndpointId(name));
        joined.faults().isDeaf = true;
        return repairLater(now + Milliseconds(static_cast<int>(fault.choice) * 100 % longestCopyMs),
            [&joined] { joined.faults().isDeaf = false; });
    }
    default:
        return;
    }
}

void SoakRun::partPrimary(const StandinEndpoint& primary, const GroupFault& fault, TimePoint until)
{
    std::string names;
    for (const std::size_t index : fault.daemons)
        names += ' ' + daemons_[index]->name;
    log(primary.id().text() + (fault.refuses ? " refuses" : " is silent to") + names + " for "
        + std::to_string(fault.duration.count()) + " ms");
    LoopbackProxy* proxy = entryOf(primary.id())->proxy.get();
    proxy->exclude(
        [this, daemons = fault.daemons](std::uint16_t port) {
            return std::any_of(daemons.begin(), daemons.end(),
                [this, port](std::size_t index) { return daemons_[index]->process->hasConnectionFrom(port); });
        },
        fault.refuses);
    repairLater(until, [proxy] { proxy->include(); });
}

void SoakRun::suspendDaemon(Daemon& daemon, TimePoint until)
{
    if (daemon.isPaused || !daemon.process->isRunning())
        return;
    log("SIGSTOP " + daemon.name);
    daemon.isPaused = true;
    daemon.process->signal(SIGSTOP);
    repairLater(until, [this, &daemon] {
        log("SIGCONT " + daemon.name);
        daemon.isPaused = false;
        daemon.process->signal(SIGCONT);
    });
}

std::vector<std::size_t> SoakRun::daemonsOf(const GroupFault& fault) const
{
    std::vector<std::size_t> chosen = fault.daemons;
    for (std::size_t index = 0; fault.afterCall && index < daemons_.size(); ++index) {
        if (daemons_[index]->name == lastCalls_[fault.group].holder)
            chosen.push_back(index);
    }
    return chosen;
}

void SoakRun::noteWrite(std::size_t index, TimePoint now)
{
    const TimePoint last = std::exchange(lastWrites_[index], std::max(now, lastWrites_[index]));
    const auto gap = std::chrono::duration_cast<Milliseconds>(std::min(now, faultsUntil_) - last);
    if (gap < shortestGap)
        return;
    log("no write to " + groups_[index]->id().text() + " succeeded for " + std::to_string(gap.count()) + " ms");
    result_.longestGap = std::max(result_.longestGap, gap);
    result_.summedGaps += gap;
}

} // namespace almondlever::soak
