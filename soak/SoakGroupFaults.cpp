#include "SoakRun.h"

#include <algorithm>
#include <csignal>

namespace almondlever::soak {

namespace {

    using Kind = GroupFault::Kind;

    /** A fault that waits for a takeover longer than this does not come. */
    constexpr Milliseconds takeoverLimit { 8000 };
    /**
     * A group loses the log of a server for good only after this time without faults: two losses in a row leave no set
     * of logs that proves to hold every acknowledged commit, so that nothing could be promoted any more. A later loss
     * waits until daemons have seen that an entry is gone and that the others hold everything.
     */
    constexpr Milliseconds calmBeforeFirstLoss { 3000 };
    constexpr Milliseconds calmBeforeLoss { 6000 };
    constexpr Milliseconds drainTime { 4000 };
    /** A process that SIGTERM reaches before it has set its handlers ends at once, as any program does. */
    constexpr Milliseconds handlersSetAfter { 500 };
    constexpr Milliseconds retryInterval { 500 };
    constexpr Milliseconds catchUpTime { 1500 };

} // namespace

void SoakRun::drawPlan()
{
    GroupFaultSettings settings;
    settings.seed = settings_.seed;
    settings.groups = settings_.groups;
    settings.servers = settings_.servers;
    settings.daemons = settings_.daemons;
    settings.faultTime = settings_.faultTime;
    const std::vector<GroupFault> plan = settings_.hasLateCalls ? drawLateCalls(settings) : drawGroupFaults(settings);
    plan_.assign(plan.begin(), plan.end());
    calmSince_.assign(groups_.size(), startedAt_);
}

bool SoakRun::isCalm(StandinGroup& group, TimePoint now)
{
    const StandinEndpoint* leader = group.find(group.leader());
    const bool areDaemonsUp = std::all_of(
        daemons_.begin(), daemons_.end(), [](const auto& daemon) { return daemon->process->isRunning(); });
    if (!leader || !areDaemonsUp || store_.faults().isBusy || group.endpoints().size() < settings_.servers)
        return false;
    return std::all_of(endpoints_.begin(), endpoints_.end(), [&](const Endpoint& endpoint) {
        if (endpoint.group != &group)
            return true;
        StandinEndpoint* server = group.find(endpoint.id);
        if (!server)
            return !endpoint.isListed;
        return server->isUp() && !server->isPaused() && !server->faults().isDeaf && endpoint.isListed
            && !endpoint.isLeaving && now >= endpoint.mutedUntil;
    });
}

void SoakRun::tickGroupFaults(TimePoint now)
{
    for (std::size_t index = 0; index < groups_.size(); ++index) {
        if (!isCalm(*groups_[index], now))
            calmSince_[index] = now;
    }
    const TimePoint first = startedAt_ + startTime;
    while (!plan_.empty() && first + plan_.front().at <= now) {
        const GroupFault fault = plan_.front();
        plan_.pop_front();
        if (fault.afterTakeover || fault.afterCall)
            armed_.push_back({ fault, groups_[fault.group]->term(), now + takeoverLimit });
        else
            applyFault(fault, now);
    }
    for (auto it = armed_.begin(); it != armed_.end();) {
        StandinGroup& group = *groups_[it->fault.group];
        if (!it->isDue && it->fault.afterTakeover && group.term() > it->term) {
            it->isDue = true;
            it->until = now + *it->fault.afterTakeover;
        }
        if (now < it->until) {
            ++it;
            continue;
        }
        const Armed armed = std::move(*it);
        it = armed_.erase(it);
        if (armed.isDue)
            applyFault(armed.fault, now);
    }
    // Deafness is that of a replica; as a primary the server sends to the others.
    for (const auto& group : groups_) {
        StandinEndpoint* leader = group->find(group->leader());
        const bool isCut = leader && (darkened_.count(leader->id()) > 0 || isolated_.count(leader->id()) > 0);
        if (leader && leader->faults().isDeaf && !isCut)
            leader->faults().isDeaf = false;
    }
}

StandinEndpoint* SoakRun::chooseReplica(StandinGroup& group, std::size_t choice, bool mustReceive)
{
    std::vector<StandinEndpoint*> candidates;
    for (const auto& [id, server] : group.endpoints()) {
        const bool receives = server->isUp() && !server->faults().isDeaf;
        if (!group.leads(*server) && (receives || !mustReceive))
            candidates.push_back(server.get());
    }
    return candidates.empty() ? nullptr : candidates[choice % candidates.size()];
}

SoakRun::Endpoint* SoakRun::entryOf(const EndpointId& id)
{
    const auto found = std::find_if(
        endpoints_.begin(), endpoints_.end(), [&id](const Endpoint& endpoint) { return endpoint.id == id; });
    return found == endpoints_.end() ? nullptr : &*found;
}

void SoakRun::applyFault(const GroupFault& fault, TimePoint now)
{
    ++result_.faults;
    StandinGroup& group = *groups_[fault.group];
    switch (fault.kind) {
    case Kind::DeafenReplicas:
        return deafenReplicas(group, fault, now);
    case Kind::LapseEntry:
        if (const StandinEndpoint* server = chooseReplica(group, fault.choice, true)) {
            log("entry of " + server->id().text() + " lapses for " + std::to_string(fault.duration.count()) + " ms");
            entryOf(server->id())->mutedUntil = now + fault.duration;
        }
        return;
    case Kind::CrashReplica:
        if (StandinEndpoint* server = chooseReplica(group, fault.choice, true))
            crashServer(group, *server, now + fault.duration);
        return;
    case Kind::CrashPrimary:
        if (StandinEndpoint* server = group.find(group.leader()))
            crashServer(group, *server, now + fault.duration);
        return;
    case Kind::DarkenPrimary:
        if (StandinEndpoint* server = group.find(group.leader()))
            darkenServer(group, *server, now + fault.duration);
        return;
    case Kind::RestartDaemons:
        for (const std::size_t index : daemonsOf(fault))
            restartDaemon(*daemons_[index], fault.isGraceful, now + fault.duration);
        return;
    case Kind::HaltStore:
        log(std::string("store is away") + (fault.hasLapses ? ", entries lapse" : "")
            + (fault.answersReads         ? " for writes"
                    : fault.answersWrites ? " for reads"
                                          : ""));
        store_.faults().isBusy = !fault.answersReads && !fault.answersWrites;
        store_.faults().refusesWrites = fault.answersReads;
        store_.faults().refusesReads = fault.answersWrites;
        store_.faults().leasesLapse = fault.hasLapses;
        entriesLapse_ = fault.hasLapses;
        return repairLater(now + fault.duration, [this] {
            store_.faults().isBusy = false;
            store_.faults().refusesWrites = false;
            store_.faults().refusesReads = false;
        });
    case Kind::RestartEmpty:
    case Kind::ReplaceReplica:
    case Kind::RetireReplica:
        return loseLog(group, fault, now);
    default:
        return applyLateFault(fault, now);
    }
}

void SoakRun::deafenReplicas(StandinGroup& group, const GroupFault& fault, TimePoint now)
{
    for (std::size_t number = 0; number < fault.count; ++number) {
        StandinEndpoint* server = chooseReplica(group, fault.choice, true);
        // Without any replica that receives, nothing is acknowledged that could be lost.
        if (!server || !hasOtherReceiver(group, *server))
            return;
        log("deafness of " + server->id().text() + " for " + std::to_string(fault.duration.count()) + " ms");
        server->faults().isDeaf = true;
        repairLater(now + fault.duration, [this, &group, id = server->id()] {
            StandinEndpoint* present = group.find(id);
            if (present && darkened_.count(id) == 0)
                present->faults().isDeaf = false;
        });
    }
}

bool SoakRun::hasOtherReceiver(StandinGroup& group, const StandinEndpoint& server)
{
    const auto& servers = group.endpoints();
    return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
        const StandinEndpoint& other = *entry.second;
        return &other != &server && !group.leads(other) && other.isUp() && !entry.second->faults().isDeaf;
    });
}

void SoakRun::crashServer(StandinGroup& group, StandinEndpoint& server, TimePoint until)
{
    log("crash " + server.id().text() + (group.leads(server) ? " (primary)" : " (replica)"));
    server.crash();
    repairLater(until, [this, &group, id = server.id()] {
        StandinEndpoint* present = group.find(id);
        if (!present || present->isUp())
            return;
        log("return of " + id.text());
        require(present->start(present->port()), id.text());
    });
}

void SoakRun::darkenServer(StandinGroup& group, StandinEndpoint& server, TimePoint until)
{
    log("darkness of " + server.id().text());
    Endpoint& endpoint = *entryOf(server.id());
    darkened_.insert(server.id());
    server.faults().isDeaf = true;
    endpoint.mutedUntil = until;
    endpoint.proxy->faults().isCutUpwards = true;
    endpoint.proxy->faults().isCutDownwards = true;
    repairLater(until, [this, &group, id = server.id(), proxy = endpoint.proxy.get()] {
        darkened_.erase(id);
        // What the cut holds back must not be carried out now.
        proxy->reset();
        proxy->faults() = {};
        StandinEndpoint* present = group.find(id);
        if (!present)
            return;
        log("return of " + id.text());
        present->faults().isDeaf = false;
        if (present->isUp()) {
            present->crash();
            require(present->start(present->port()), id.text());
        }
    });
}

void SoakRun::restartDaemon(Daemon& daemon, bool isGraceful, TimePoint startAt)
{
    if (!daemon.process->isRunning() || (isGraceful && daemon.isStopping))
        return;
    const bool isStopped = isGraceful && Clock::now() - daemon.startedAt >= handlersSetAfter;
    log((isStopped ? "SIGTERM " : "SIGKILL ") + daemon.name);
    (isStopped ? daemon.isStopping : daemon.wasKilled) = true;
    daemon.startAt = startAt;
    daemon.process->signal(isStopped ? SIGTERM : SIGKILL);
}

bool SoakRun::isHeldElsewhere(StandinGroup& group, const EndpointId& id) const
{
    std::vector<const std::vector<LogEntry>*> logs;
    for (const auto& [other, server] : group.endpoints()) {
        if (other != id)
            logs.push_back(&server->log());
    }
    return checker_.coversAcknowledged(group.id(), logs);
}

void SoakRun::loseLog(StandinGroup& group, const GroupFault& fault, TimePoint now)
{
    // A primary may restart empty; one that is gone for good would only add to the waiting time.
    const bool isAny = fault.kind == Kind::RestartEmpty && fault.choice % 3 == 0;
    StandinEndpoint* server = isAny ? group.find(group.leader()) : chooseReplica(group, fault.choice / 3, false);
    const Milliseconds calm = hasLost_.count(group.id()) > 0 ? calmBeforeLoss : calmBeforeFirstLoss;
    const bool isSettled = now - calmSince_[fault.group] >= calm;
    if (!server || !isSettled || !isHeldElsewhere(group, server->id()))
        return log("no loss of a log in " + group.id().text() + ", it has not settled");
    hasLost_.insert(group.id());
    const EndpointId id = server->id();
    if (fault.kind == Kind::ReplaceReplica)
        return replaceServer(group, id, fault.duration);
    if (fault.kind == Kind::RetireReplica) {
        log("announced leave of " + id.text());
        entryOf(id)->isLeaving = true;
        writeEntry(*entryOf(id));
        return repairLater(
            now + drainTime, [this, &group, id, wait = fault.duration] { replaceServer(group, id, wait); });
    }
    log("restart of " + id.text() + " without its log" + (group.leads(*server) ? " (primary)" : ""));
    group.loseLog(id);
    repairLater(now + fault.duration, [this, &group, id] {
        StandinEndpoint* present = group.find(id);
        if (!present)
            return;
        log("return of " + id.text() + " without its log");
        require(present->start(present->port()), id.text());
        Endpoint& endpoint = *entryOf(id);
        endpoint.born = bornNow();
        endpoint.sequence = 0;
        endpoint.isListed = false;
        catchUpLater(group, *present);
    });
}

void SoakRun::replaceServer(StandinGroup& group, const EndpointId& id, Milliseconds wait)
{
    const StandinEndpoint* server = group.find(id);
    if (!server)
        return;
    const TimePoint now = Clock::now();
    // It may have taken the lead, or have become the only one with some commit, since it announced its leave.
    if (group.leads(*server) || !isHeldElsewhere(group, id))
        return repairLater(now + retryInterval, [this, &group, id, wait] { replaceServer(group, id, wait); });
    log(id.text() + " is gone for good");
    group.remove(id);
    entryOf(id)->proxy->reset();
    repairLater(now + wait, [this, &group] {
        const std::string name = group.id().text() + 'r' + std::to_string(++replaced_);
        log(name + " joins without a log");
        addEndpoint(group, name, {});
        catchUpLater(group, *group.find(EndpointId(name)));
    });
}

void SoakRun::catchUpLater(StandinGroup& group, StandinEndpoint& server)
{
    server.faults().isDeaf = true;
    repairLater(Clock::now() + catchUpTime, [this, &group, id = server.id()] {
        StandinEndpoint* present = group.find(id);
        if (present && darkened_.count(id) == 0)
            present->faults().isDeaf = false;
    });
}

} // namespace almondlever::soak
