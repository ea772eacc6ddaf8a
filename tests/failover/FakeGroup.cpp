#include "FakeGroup.h"

#include <algorithm>

namespace almondlever::test {

namespace {

    constexpr Microseconds localLatency { 500 };
    constexpr Milliseconds tickInterval { 10 };
    constexpr Milliseconds replicationInterval { 5 };

    std::string domainOf(const std::string& node) { return "d" + node.substr(1); }

    bool isListed(const std::vector<std::string>& list, const std::string& node)
    {
        return std::any_of(list.begin(), list.end(),
            [&](const std::string& entry) { return entry == node || entry == domainOf(node); });
    }

} // namespace

FakeGroup::FakeGroup(const GroupOptions& options)
    : options_(options)
    , codec_("cluster key of the scenarios")
    , random_(options.seed)
    , start_(TimePoint() + std::chrono::hours(1))
    , now_(start_)
{
    description_.id = DatabaseId("ledger");
    for (const std::string number : { "0", "1", "2" }) {
        EndpointDescription endpoint;
        endpoint.id = EndpointId("s" + number);
        endpoint.failureDomain = FailureDomainId("d" + number);
        description_.endpoints.push_back(endpoint);
        servers_.emplace_back("s" + number);
    }
    daemons_.resize(3);
    for (std::size_t place = 0; place < daemons_.size(); ++place) {
        Daemon& daemon = daemons_[place];
        daemon.name = "v" + std::to_string(place);
        daemon.token = codec_.encode({});
        makeCoordinator(daemon);
        // Offset the ticks of the daemons.
        schedule(Milliseconds(3 * place), [this, &daemon] { tick(daemon); });
        schedule(Milliseconds(1 + 3 * place), [this, &daemon] { startWrite(daemon); });
    }
    schedule(replicationInterval, [this] { replicateAll(); });
}

void FakeGroup::makeCoordinator(Daemon& daemon)
{
    daemon.coordinator = makeFailoverCoordinator(description_, VmId(daemon.name), settings_, now_);
    daemon.coordinator->setObservers({ { VmId("v0"), FailureDomainId("d0") }, { VmId("v1"), FailureDomainId("d1") },
        { VmId("v2"), FailureDomainId("d2") } });
    daemon.coordinator->setLeaving(leaving_);
    daemon.tracker = std::make_unique<CommitTracker>(
        std::vector<EndpointId> { EndpointId("s0"), EndpointId("s1"), EndpointId("s2") });
}

void FakeGroup::runUntil(Milliseconds sinceStart)
{
    const TimePoint end = start_ + sinceStart;
    while (!events_.empty() && events_.begin()->first <= end) {
        const auto first = events_.begin();
        now_ = std::max(now_, first->first);
        const auto event = std::move(first->second);
        events_.erase(first);
        event();
    }
    now_ = end;
}

void FakeGroup::cut(const std::vector<std::string>& nodes, const std::vector<std::string>& others)
{
    cuts_.push_back({ nodes, others });
}

void FakeGroup::crash(const std::string& name)
{
    Daemon& daemon = *findDaemon(name);
    daemon.isCrashed = true;
    ++daemon.incarnation;
    daemon.pending.clear();
    daemon.polls.clear();
    daemon.writesInFlight = 0;
    daemon.isAskingLogEnd = false;
    inboxes_.erase(name);
}

void FakeGroup::restart(const std::string& name)
{
    Daemon& daemon = *findDaemon(name);
    daemon.isCrashed = false;
    makeCoordinator(daemon);
}

void FakeGroup::pause(const std::string& node) { paused_.insert(node); }

void FakeGroup::resume(const std::string& node)
{
    paused_.erase(node);
    const auto inbox = std::move(inboxes_[node]);
    inboxes_.erase(node);
    for (const auto& event : inbox)
        event();
}

void FakeGroup::leave(const std::set<EndpointId>& leaving)
{
    leaving_ = leaving;
    for (Daemon& daemon : daemons_)
        daemon.coordinator->setLeaving(leaving);
}

bool FakeGroup::hasPausedWrites() const
{
    return std::any_of(daemons_.begin(), daemons_.end(),
        [](const Daemon& daemon) { return !daemon.isCrashed && daemon.coordinator->wantsWritesPaused(); });
}

std::string FakeGroup::agreedPrimary() const
{
    std::set<std::string> named;
    for (const Daemon& daemon : daemons_) {
        if (daemon.isCrashed || paused_.count(daemon.name) > 0 || isIsolated(daemon.name))
            continue;
        const auto view = daemon.coordinator->primary();
        const bool isNewest = view && !primaries_.empty() && view->term == primaries_.rbegin()->first;
        named.insert(isNewest ? view->primary.text() : "");
    }
    if (named.size() != 1)
        return "";
    for (const FakeServer& server : servers_) {
        if (server.name() == *named.begin() && server.isPrimary()
            && server.promisedTerm() == primaries_.rbegin()->first)
            return server.name();
    }
    return "";
}

std::vector<std::string> FakeGroup::strayServers() const
{
    std::vector<std::string> strays;
    for (const FakeServer& server : servers_) {
        if (isIsolated(server.name()) || primaries_.empty())
            continue;
        const auto& [term, primary] = *primaries_.rbegin();
        const bool isPlaced = server.name() == primary ? server.isPrimary() : server.following().text() == primary;
        if (!isPlaced || server.promisedTerm() != term)
            strays.push_back(server.name());
    }
    return strays;
}

void FakeGroup::schedule(Duration delay, std::function<void()> event)
{
    events_.emplace(now_ + delay, std::move(event));
}

Duration FakeGroup::delayBetween(const std::string& from, const std::string& to)
{
    if (domainOf(from) == domainOf(to))
        return localLatency;
    const auto range = static_cast<std::uint32_t>(options_.jitter.count() * 1000 + 1);
    return options_.latency + Microseconds(random_() % range);
}

bool FakeGroup::isLinked(const std::string& from, const std::string& to) const
{
    return std::none_of(cuts_.begin(), cuts_.end(), [&](const Cut& cut) {
        const auto separates = [&](const std::string& inside, const std::string& outside) {
            return isListed(cut.nodes, inside) && !isListed(cut.nodes, outside)
                && (cut.others.empty() || isListed(cut.others, outside));
        };
        return separates(from, to) || separates(to, from);
    });
}

bool FakeGroup::isIsolated(const std::string& node) const
{
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const Cut& cut) { return isListed(cut.nodes, node); });
}

int FakeGroup::incarnationOf(const std::string& node) const
{
    for (const Daemon& daemon : daemons_) {
        if (daemon.name == node)
            return daemon.incarnation;
    }
    return 0;
}

void FakeGroup::send(
    const std::string& kind, const std::string& from, const std::string& to, std::function<void()> handler)
{
    if (!isLinked(from, to))
        return;
    Duration delay = delayBetween(from, to);
    int copies = 1;
    for (MessageFault& fault : faults_) {
        if (fault.kind != kind || fault.count == 0)
            continue;
        --fault.count;
        if (fault.effect == MessageFault::Effect::Lose)
            return;
        if (fault.effect == MessageFault::Effect::Double)
            ++copies;
        delay += fault.delay;
    }
    const auto isDrawn = [&](double share) { return random_() % 10000 < share * 10000; };
    if (isDrawn(options_.loss))
        return;
    if (isDrawn(options_.doubled))
        ++copies;
    const int incarnation = incarnationOf(to);
    for (int copy = 0; copy < copies; ++copy)
        schedule(delay * (copy + 1), [=] { deliver(from, to, incarnation, handler); });
}

void FakeGroup::deliver(
    const std::string& from, const std::string& to, int incarnation, const std::function<void()>& handler)
{
    if (!isLinked(from, to) || incarnationOf(to) != incarnation)
        return;
    const Daemon* daemon = findDaemon(to);
    if (daemon && daemon->isCrashed)
        return;
    if (paused_.count(to) > 0) {
        inboxes_[to].push_back([=] {
            if (incarnationOf(to) == incarnation)
                handler();
        });
        return;
    }
    handler();
}

void FakeGroup::call(const std::string& kind, Daemon& daemon, const std::string& server, Milliseconds timeout,
    Operation operation, Reply reply)
{
    const auto isAnswered = std::make_shared<bool>(false);
    const std::string name = daemon.name;
    const int incarnation = daemon.incarnation;
    send(kind, name, server, [=] {
        FakeServer& target = serverOf(server);
        const EndpointResult<EndpointStatus> result = operation(target);
        serverChanged(target);
        // Only the incarnation that sent the request receives the reply.
        if (incarnationOf(name) != incarnation)
            return;
        send(kind + "_reply", server, name, [=] {
            *isAnswered = true;
            reply(result);
        });
    });
    schedule(timeout, [=] {
        if (*isAnswered)
            return;
        EndpointError error;
        error.code = EndpointErrorCode::TimedOut;
        deliver(name, name, incarnation, [=] { reply(error); });
    });
}

void FakeGroup::tick(Daemon& daemon)
{
    schedule(tickInterval, [this, &daemon] { tick(daemon); });
    if (daemon.isCrashed || paused_.count(daemon.name) > 0)
        return;
    apply(daemon, daemon.coordinator->onTick(now_));
    if (daemon.isCrashed)
        return;
    finish(daemon, daemon.tracker->onTick(now_));
    prepareHandOver(daemon);
    poll(daemon);
    if ((now_ - start_) / tickInterval % 10 == 0)
        readOwnWrites(daemon);
}

void FakeGroup::apply(Daemon& daemon, const FailoverActions& actions)
{
    for (const FailoverAction& action : actions) {
        if (applyTriggers(daemon, carryOut(daemon, action)))
            return;
    }
}

std::string FakeGroup::carryOut(Daemon& daemon, const FailoverAction& action)
{
    Daemon* self = &daemon;
    if (const auto* probe = std::get_if<ProbeAction>(&action)) {
        const EndpointId id = probe->endpoint;
        call(
            "probe", daemon, id.text(), settings_.probeTimeout, [](FakeServer& server) { return server.status(); },
            [=](const auto& result) { apply(*self, self->coordinator->onStatus(id, result, now_)); });
        return "probe";
    }
    if (const auto* raise = std::get_if<RaiseTermAction>(&action)) {
        const auto [id, term] = *raise;
        const std::string proposer = daemon.name + "#" + std::to_string(daemon.incarnation);
        call(
            "raise_term", daemon, id.text(), settings_.operationTimeout,
            [term = term, proposer](FakeServer& server) { return server.raiseTerm(term, proposer); },
            [=, id = id, term = term](
                const auto& result) { apply(*self, self->coordinator->onTermReply(id, term, result, now_)); });
        return "raise_term";
    }
    if (const auto* promote = std::get_if<PromoteAction>(&action)) {
        const auto [id, term] = *promote;
        call(
            "promote", daemon, id.text(), settings_.operationTimeout,
            [term = term](FakeServer& server) { return server.promote(term); },
            [=, id = id, term = term](
                const auto& result) { apply(*self, self->coordinator->onPromoteReply(id, term, result, now_)); });
        return "promote";
    }
    if (const auto* follow = std::get_if<FollowAction>(&action)) {
        const auto [id, term, primary] = *follow;
        call(
            "follow", daemon, id.text(), settings_.operationTimeout,
            [term = term, primary = primary](FakeServer& server) { return server.follow(term, primary); },
            [=, id = id, term = term](
                const auto& result) { apply(*self, self->coordinator->onFollowReply(id, term, result, now_)); });
        return "follow";
    }
    if (const auto* decision = std::get_if<LogDecisionAction>(&action)) {
        decisions_.push_back({ now_, daemon.name, decision->decision });
        return "log";
    }
    const auto* report = std::get_if<ReportSuspicionAction>(&action);
    const auto* announcement = std::get_if<AnnouncePrimaryAction>(&action);
    for (Daemon& other : daemons_) {
        if (&other == self)
            continue;
        Daemon* to = &other;
        if (report)
            send("report", daemon.name, other.name,
                [=, copy = report->report] { apply(*to, to->coordinator->onSuspicion(copy, now_)); });
        else
            send("announce", daemon.name, other.name,
                [=, copy = announcement->view] { apply(*to, to->coordinator->onAnnouncement(copy, now_)); });
    }
    return report ? "report" : "announce";
}

bool FakeGroup::applyTriggers(Daemon& daemon, const std::string& action)
{
    for (ActionTrigger& trigger : triggers_) {
        if (trigger.count == 0 || trigger.action != action
            || (trigger.daemon != daemon.name && trigger.daemon != "any"))
            continue;
        if (--trigger.count > 0)
            continue;
        if (trigger.isCrash)
            crash(daemon.name);
        else
            pause(daemon.name);
        return true;
    }
    return false;
}

void FakeGroup::replicateAll()
{
    schedule(replicationInterval, [this] { replicateAll(); });
    for (FakeServer& server : servers_) {
        const std::string primary = server.following().text();
        const Term term = server.promisedTerm();
        const auto known = primaries_.find(term);
        if (primary.empty() || known == primaries_.end() || known->second != primary || paused_.count(primary) > 0)
            continue;
        const FakeServer& source = serverOf(primary);
        if (!source.isPrimary() || source.promisedTerm() != term)
            continue;
        const std::size_t length = source.log().size();
        const std::string name = server.name();
        const Milliseconds lag = lags_.count(name) > 0 ? lags_.at(name) : Milliseconds(0);
        if (!isLinked(primary, name))
            continue;
        schedule(delayBetween(primary, name) + lag, [=] {
            if (!isLinked(primary, name) || paused_.count(name) > 0)
                return;
            FakeServer& target = serverOf(name);
            target.replicate(term, EndpointId(primary), archives_.at(term), length);
            serverChanged(target);
        });
    }
}

void FakeGroup::serverChanged(FakeServer& server)
{
    if (server.isPrimary()) {
        if (primaries_.emplace(server.promisedTerm(), server.name()).second) {
            archives_[server.promisedTerm()] = server.log();
            checkPromotion(server);
        } else if (primaries_.at(server.promisedTerm()) != server.name()) {
            violations_.push_back("two primaries in term " + std::to_string(server.promisedTerm()));
        }
        std::vector<LogEntry>& archive = archives_.at(server.promisedTerm());
        for (std::size_t place = archive.size(); place < server.log().size(); ++place)
            archive.push_back(server.log()[place]);
    }
    std::vector<Waiter>& waiters = waiters_[server.name()];
    std::vector<Waiter> kept;
    std::vector<Waiter> ready;
    for (Waiter& waiter : waiters) {
        const bool isReady = server.status().logEnd >= waiter.position || server.promisedTerm() != waiter.promised
            || now_ >= waiter.deadline;
        (isReady ? ready : kept).push_back(std::move(waiter));
    }
    waiters = std::move(kept);
    for (const Waiter& waiter : ready)
        waiter.reply();
}

FakeGroup::Daemon& FakeGroup::ownerOf(const EndpointId& endpoint)
{
    const auto canServe = [&](const Daemon& daemon) {
        return !daemon.isCrashed && paused_.count(daemon.name) == 0 && isLinked(daemon.name, endpoint.text());
    };
    Daemon& near = *findDaemon("v" + endpoint.text().substr(1));
    if (canServe(near))
        return near;
    const auto other = std::find_if(daemons_.begin(), daemons_.end(), canServe);
    return other == daemons_.end() ? near : *other;
}

FakeGroup::Daemon* FakeGroup::findDaemon(const std::string& name)
{
    const auto found
        = std::find_if(daemons_.begin(), daemons_.end(), [&](const Daemon& daemon) { return daemon.name == name; });
    return found == daemons_.end() ? nullptr : &*found;
}

FakeServer& FakeGroup::serverOf(const std::string& name)
{
    return servers_.at(static_cast<std::size_t>(name.back() - '0'));
}

} // namespace almondlever::test
