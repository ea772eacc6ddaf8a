// FakeGroup: sends statements, confirms them, and checks the guarantees.
#include "FakeGroup.h"

#include <algorithm>

namespace almondlever::test {

namespace {

    constexpr Milliseconds statementTimeout { 400 };
    constexpr Milliseconds writeDeadline { 2000 };
    constexpr Milliseconds positionWait { 100 };
    constexpr Milliseconds pollTimeout { 250 };
    constexpr Milliseconds repeatDelay { 100 };

} // namespace

void FakeGroup::startWrite(Daemon& entry)
{
    schedule(options_.writeInterval, [this, &entry] { startWrite(entry); });
    if (entry.isCrashed || paused_.count(entry.name) > 0)
        return;
    const auto view = entry.coordinator->primary();
    if (!view)
        return;
    Daemon* owner = &ownerOf(view->primary);
    const std::uint64_t request = nextRequest_++;
    const std::string name = entry.name;
    const PrimaryView copy = *view;
    const bool isRead = request % 16 == 0;
    send("forward", entry.name, owner->name, [=] {
        if (isRead)
            startRead(*owner, copy);
        else
            serveWrite(*owner, copy, request, name);
    });
}

void FakeGroup::serveWrite(Daemon& owner, const PrimaryView& view, std::uint64_t request, const std::string& entry)
{
    if (owner.coordinator->wantsWritesPaused())
        return;
    ++owner.writesInFlight;
    Daemon* self = &owner;
    const auto isCounted = std::make_shared<bool>(true);
    call(
        "write", owner, view.primary.text(), statementTimeout,
        [=](FakeServer& server) { return server.write(view.term, request); },
        [=](const EndpointResult<EndpointStatus>& result) {
            const bool isFirst = *isCounted;
            self->writesInFlight -= isFirst ? 1 : 0;
            *isCounted = false;
            if (!isFirst)
                return;
            if (!result) {
                if (result.error().code == EndpointErrorCode::TimedOut)
                    apply(*self, self->coordinator->onPrimaryFailed(view.primary, now_));
                return;
            }
            self->coordinator->onPrimaryAnswered(view.primary, view.term, now_);
            const LogPosition position = result.value().logEnd;
            const ConfirmationId id = nextConfirmation_++;
            self->pending[id] = { request, position, entry, false };
            // A retried write that was logged in an earlier term is confirmed by the current term's first entry.
            const LogPosition awaited = position.term == view.term ? position : LogPosition { view.term, 0 };
            finish(*self, self->tracker->awaitPosition(id, view.primary, awaited, now_ + writeDeadline, now_));
            poll(*self);
        });
}

void FakeGroup::startRead(Daemon& owner, const PrimaryView& view)
{
    const TimePoint since = now_;
    const std::size_t acknowledgedBefore = acknowledged_.size();
    Daemon* self = &owner;
    const auto isRead = std::make_shared<bool>(false);
    const auto isMissingWrite = std::make_shared<bool>(false);
    call(
        "read", owner, view.primary.text(), statementTimeout,
        [=](FakeServer& server) -> EndpointResult<EndpointStatus> {
            if (!server.isPrimary())
                return EndpointError { EndpointErrorCode::NotPrimary, Outcome::NotRun, "", 0 };
            *isMissingWrite = !std::all_of(acknowledged_.begin(),
                acknowledged_.begin() + static_cast<std::ptrdiff_t>(acknowledgedBefore),
                [&](const Acknowledged& write) { return server.contains(write.position, write.request); });
            return server.status();
        },
        [=](const EndpointResult<EndpointStatus>& result) {
            if (!result || *isRead)
                return;
            *isRead = true;
            const ConfirmationId id = nextConfirmation_++;
            // A read without a session token; `request` is 1 when the server lacked an acknowledged write.
            self->pending[id] = { *isMissingWrite ? 1U : 0U, {}, "", true };
            finish(
                *self, self->tracker->awaitLeadership(id, view.primary, view.term, since, now_ + writeDeadline, now_));
            poll(*self);
        });
}

void FakeGroup::prepareHandOver(Daemon& owner)
{
    const auto view = owner.coordinator->primary();
    if (!view || &ownerOf(view->primary) != &owner || !owner.coordinator->wantsWritesPaused())
        return;
    if (owner.writesInFlight > 0 || owner.isAskingLogEnd)
        return;
    owner.isAskingLogEnd = true;
    Daemon* self = &owner;
    call(
        "status", owner, view->primary.text(), statementTimeout, [](FakeServer& server) { return server.status(); },
        [=](const EndpointResult<EndpointStatus>& result) {
            self->isAskingLogEnd = false;
            if (result && self->writesInFlight == 0 && self->coordinator->wantsWritesPaused())
                apply(*self, self->coordinator->onWritesPaused(result.value().logEnd, now_));
        });
}

void FakeGroup::poll(Daemon& daemon)
{
    Daemon* self = &daemon;
    for (const FakeServer& server : servers_) {
        const std::string name = server.name();
        const EndpointId id(name);
        const auto wanted = daemon.tracker->wantedFrom(id);
        const bool isFresh = daemon.tracker->needsFreshReport(id);
        const auto last = daemon.polls.find(name);
        if ((!wanted && !isFresh) || (last != daemon.polls.end() && now_ - last->second < pollTimeout))
            continue;
        daemon.polls[name] = now_;
        const TimePoint askedAt = now_;
        const LogPosition position = isFresh ? LogPosition() : *wanted;
        const int incarnation = daemon.incarnation;
        send("position", daemon.name, name, [=] {
            FakeServer& target = serverOf(name);
            const auto reply = [=] {
                const EndpointStatus status = serverOf(name).status();
                if (incarnationOf(self->name) != incarnation)
                    return;
                send("position_reply", name, self->name, [=] {
                    // A duplicate reply must not end a later poll.
                    const auto current = self->polls.find(name);
                    if (current != self->polls.end() && current->second == askedAt)
                        self->polls.erase(current);
                    finish(*self, self->tracker->onReport({ id, status.promisedTerm, status.logEnd, askedAt }, now_));
                    poll(*self);
                });
            };
            waiters_[name].push_back({ position, target.promisedTerm(), now_ + positionWait, reply });
            serverChanged(target);
            schedule(positionWait, [=] { serverChanged(serverOf(name)); });
        });
    }
}

void FakeGroup::finish(Daemon& daemon, const std::vector<Confirmation>& ended)
{
    for (const Confirmation& confirmation : ended) {
        const PendingWrite write = daemon.pending[confirmation.id];
        daemon.pending.erase(confirmation.id);
        if (confirmation.verdict != Confirmation::Verdict::Confirmed) {
            repeat(write);
            continue;
        }
        if (write.isRead) {
            ++readsChecked_;
            if (write.request > 0)
                violations_.push_back("a confirmed read of the primary lacked an acknowledged write (P1)");
            continue;
        }
        acknowledge(write);
    }
}

void FakeGroup::repeat(const PendingWrite& write)
{
    if (write.isRead)
        return;
    // Without a delay, a daemon with an outdated view would retry every few milliseconds.
    schedule(repeatDelay, [=] {
        Daemon* entry = findDaemon(write.entry);
        const auto view = entry->coordinator->primary();
        if (entry->isCrashed || paused_.count(entry->name) > 0 || !view)
            return;
        Daemon* owner = &ownerOf(view->primary);
        send("forward", entry->name, owner->name,
            [=, view = *view] { serveWrite(*owner, view, write.request, write.entry); });
    });
}

void FakeGroup::acknowledge(const PendingWrite& write)
{
    for (const auto& [term, primary] : primaries_) {
        if (term <= write.position.term)
            continue;
        const std::vector<LogEntry>& log = archives_.at(term);
        if (write.position.index > log.size()
            || !(log[write.position.index - 1] == LogEntry { write.position.term, write.request }))
            violations_.push_back("acknowledged by a superseded primary: request " + std::to_string(write.request));
    }
    acknowledged_.push_back({ write.position, write.request });
    acknowledgedAt_.emplace_back(elapsed(), write.position.term);
    Daemon* entry = findDaemon(write.entry);
    send("answer", entry->name, entry->name, [=] {
        entry->session.observe(description_.id, write.position);
        entry->token = codec_.encode(entry->session);
        entry->own.push_back(write);
    });
}

void FakeGroup::readOwnWrites(Daemon& daemon)
{
    if (daemon.own.empty())
        return;
    const auto session = codec_.decode(daemon.token);
    if (!session) {
        violations_.push_back("a session token was refused");
        return;
    }
    const LogPosition minimum = session.value().positions.at(description_.id);
    const PendingWrite last = *std::max_element(daemon.own.begin(), daemon.own.end(),
        [](const PendingWrite& a, const PendingWrite& b) { return a.position < b.position; });
    daemon.own = { last };
    for (const FakeServer& server : servers_) {
        if (!isLinked(daemon.name, server.name()) || server.status().logEnd < minimum)
            continue;
        ++readsChecked_;
        if (!server.contains(last.position, last.request))
            violations_.push_back("a replica at the session's position lacked the session's write (P1)");
    }
}

void FakeGroup::checkPromotion(FakeServer& server)
{
    for (const Acknowledged& write : acknowledged_) {
        // Promotions to an older term may take effect after acknowledgements in a later one.
        if (write.position.term < server.promisedTerm() && !server.contains(write.position, write.request))
            violations_.push_back("acknowledged write " + std::to_string(write.request) + " lost at promotion of "
                + server.name() + " (P2)");
    }
    std::set<std::uint64_t> requests;
    for (const LogEntry& entry : server.log()) {
        if (entry.request > 0 && !requests.insert(entry.request).second)
            violations_.push_back("request " + std::to_string(entry.request) + " applied twice (P2)");
    }
}

} // namespace almondlever::test
