#pragma once

#include "FakeCustomerAccess.h"
#include "FakeEndpoints.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/sessions/Session.h"

#include <string>
#include <vector>

namespace almondlever {

/** One group of three endpoints, a dispatcher before it, and sessions of callers. */
class DispatcherFixture : public RoutingSource {
public:
    const GroupId group { "ledger" };
    const EndpointId a { "a" };
    const EndpointId b { "b" };
    const EndpointId c { "c" };

    explicit DispatcherFixture(DispatcherSettings settings = {})
        : endpoints(timers)
        , log(0)
        , dispatcher(directory, endpoints, log, metrics, settings)
    {
        endpoints.server(a).leads = true;
        for (const EndpointId& id : { a, b, c })
            directory.update(entryOf(id), timers.now());
        configuration->version = 1;
        configuration->transactionIdleLimit = Milliseconds(3000);
        addRoute("orders", ReadRule::Primary, 0);
        addRoute("proofs", ReadRule::BoundedStaleness, 1);
        addRoute("jobs", ReadRule::ReadYourWrites, 2);
        configuration->groups[group] = { group, 40, 1 };
        dispatcher.setGroups(configuration->groups, timers.now());
        advance(Milliseconds(400));
    }

    EndpointEntry entryOf(const EndpointId& id)
    {
        EndpointEntry entry;
        entry.id = id;
        entry.group = group;
        entry.address = "10.0.0.1:1";
        entry.reportsPrimary = endpoints.server(id).leads;
        entry.startedAt = Milliseconds(1);
        entry.revision = ++revision_;
        return entry;
    }

    void addRoute(const std::string& name, ReadRule rule, std::size_t rank)
    {
        Route route;
        route.database = DatabaseId(name);
        route.group = group;
        route.readRule = rule;
        route.statementTimeout = Milliseconds(1000);
        route.targetLatency = Milliseconds(500);
        route.maximumStaleness = rule == ReadRule::Primary ? Milliseconds(0) : Milliseconds(1500);
        route.rank = rank;
        configuration->routes[route.database] = route;
    }

    std::shared_ptr<const RoutingConfiguration> routing() const override { return configuration; }

    /** Moves time forward with the dispatcher's ticks. */
    void advance(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            timers.advance(std::min<Duration>(StatementDispatcher::tickInterval, end - timers.now()));
            dispatcher.onTick(timers.now());
        }
    }

    FakeTimerService timers;
    FakeEndpoints endpoints;
    EndpointDirectory directory;
    DecisionLog log;
    Metrics metrics;
    StatementDispatcher dispatcher;
    FakeCustomerAccess access;
    std::shared_ptr<RoutingConfiguration> configuration = std::make_shared<RoutingConfiguration>();

private:
    std::uint64_t revision_ = 0;
};

/** A caller with a session, which keeps the replies. */
class FakeCaller final : public CallerLink {
public:
    FakeCaller(DispatcherFixture& fixture, const std::string& database, const std::string& key = "")
        : fixture_(fixture)
        , session(DatabaseId(database), KeyDigest::of(key), *this, fixture, fixture.access, fixture.dispatcher,
              fixture.metrics)
    {
    }

    void send(const Reply& reply) override { replies.push_back(reply); }
    void close() override { isClosed = true; }

    void say(StatementKind kind, const std::string& id, const std::string& text, const std::string& name = "",
        const std::string& argument = "", bool isWriteShape = false)
    {
        Statement statement;
        statement.kind = kind;
        statement.id = id;
        statement.text = text;
        statement.name = name;
        statement.argument = argument;
        statement.isWriteShape = isWriteShape;
        session.onStatement(statement, fixture_.timers.now());
    }
    void read(const std::string& id) { say(StatementKind::Read, id, "READ x"); }
    void write(const std::string& id) { say(StatementKind::Write, id, "WRITE x 1"); }
    void begin() { say(StatementKind::Begin, "begin", "BEGIN"); }
    void beginReadOnly() { say(StatementKind::BeginReadOnly, "begin", "BEGIN READ"); }
    void commit(const std::string& id) { say(StatementKind::Commit, id, "COMMIT"); }

    bool hasError(StatementError error) const { return !replies.empty() && replies.back().error == error; }
    bool succeeded() const { return !replies.empty() && !replies.back().error; }

private:
    DispatcherFixture& fixture_;

public:
    std::vector<Reply> replies;
    bool isClosed = false;
    Session session;
};

} // namespace almondlever
