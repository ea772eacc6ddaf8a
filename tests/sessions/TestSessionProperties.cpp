#include "mocks/DispatcherFixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace almondlever;

namespace {

/** Texts for names, values and shapes. Several are equal or prefixes of each other, in all roles. */
const std::vector<std::string> texts { "", "a", "aa", "a b", " ", "a\nb", "a\r\nQUERY 1 READ x", "p1", "p2", "q READ a",
    "\xc3\xa4\xff", "RESET" };

/** A number from the whole range, however small the test case is. */
std::size_t draw(std::size_t first, std::size_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(first, end));
}

/** What the proxy promised to one session, kept from its answers alone. */
class SessionModel {
public:
    /** Records the values and prepared statements with which a statement must run. */
    struct Expected {
        std::map<std::string, std::string> values;
        std::optional<PreparedStatement> prepared;
        std::string argument;
        /** Number of the transaction; 0 outside of transactions. */
        std::size_t transaction = 0;
        CustomerId customer;
    };

    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    std::map<std::string, Expected> sent;
    TransactionState state = TransactionState::None;
    std::size_t transaction = 0;
    /** The customer that holds the session's key; empty where callers need none. */
    CustomerId customer;
};

/** One caller, which sends a statement only after the answer to the one before it. */
class ModelledCaller {
public:
    ModelledCaller(DispatcherFixture& fixture, const std::string& database, std::size_t number)
        : caller_(fixture, database, keyOf(number))
        , number_(number)
    {
    }

    static std::string keyOf(std::size_t number) { return "key-" + std::to_string(number); }

    /** Brings the model up to date with the answer, if there is a new one. */
    void noteAnswer()
    {
        if (!isWaiting_ || caller_.replies.size() == answered_)
            return;
        RC_ASSERT(caller_.replies.size() == answered_ + 1);
        isWaiting_ = false;
        ++answered_;
        const Reply& reply = caller_.replies.back();
        if (!reply.error && last_.kind == StatementKind::SetValue)
            model.values[last_.name] = last_.argument;
        if (!reply.error && last_.kind == StatementKind::Prepare)
            model.prepared[last_.name] = { last_.isWriteShape, last_.argument };
        if (!reply.error && last_.kind == StatementKind::Deallocate)
            model.prepared.erase(last_.name);
        const bool isBegin = last_.kind == StatementKind::Begin || last_.kind == StatementKind::BeginReadOnly;
        if (!reply.error && isBegin && model.state == TransactionState::None)
            model.transaction = ++transactions_;
        RC_ASSERT(!(reply.state == TransactionState::Open && reply.error));
        model.state = reply.state;
        if (reply.state == TransactionState::None)
            model.transaction = 0;
    }

    void sendRandom()
    {
        if (isWaiting_ || caller_.isClosed)
            return;
        const auto text = [] { return *rc::gen::elementOf(texts); };
        Statement statement;
        statement.id = std::to_string(number_) + '.' + std::to_string(++statements_);
        statement.kind = *rc::gen::element(StatementKind::SetValue, StatementKind::Prepare, StatementKind::Deallocate,
            StatementKind::Execute, StatementKind::Execute, StatementKind::Execute, StatementKind::Read,
            StatementKind::Write, StatementKind::Begin, StatementKind::BeginReadOnly, StatementKind::Commit,
            StatementKind::Rollback, StatementKind::Malformed);
        if (model.state == TransactionState::Failed && draw(0, 2) == 0)
            statement.kind = StatementKind::Rollback;
        statement.name = *rc::gen::weightedOneOf<std::string>(
            { { 3, rc::gen::element<std::string>("a", "aa") }, { 1, rc::gen::elementOf(texts) } });
        statement.argument = text();
        statement.isWriteShape = *rc::gen::arbitrary<bool>();
        statement.text = textOf(statement);
        last_ = statement;
        isWaiting_ = true;
        SessionModel::Expected expected { model.values, std::nullopt, statement.argument, model.transaction,
            model.customer };
        const auto found = model.prepared.find(statement.name);
        if (statement.kind == StatementKind::Execute && found != model.prepared.end())
            expected.prepared = found->second;
        model.sent[statement.id] = expected;
        caller_.say(
            statement.kind, statement.id, statement.text, statement.name, statement.argument, statement.isWriteShape);
        noteAnswer();
    }

    void leave(TimePoint now)
    {
        isWaiting_ = false;
        caller_.isClosed = true;
        caller_.session.onCallerClosed(now);
    }

    bool isWaiting() const { return isWaiting_; }

    SessionModel model;

private:
    static std::string textOf(const Statement& statement)
    {
        switch (statement.kind) {
        case StatementKind::Commit:
            return "COMMIT";
        case StatementKind::Read:
            return "READ " + statement.argument;
        case StatementKind::Write:
            return "WRITE " + statement.argument;
        default:
            return "?";
        }
    }

    FakeCaller caller_;
    std::size_t number_;
    std::size_t answered_ = 0;
    std::size_t statements_ = 0;
    std::size_t transactions_ = 0;
    bool isWaiting_ = false;
    Statement last_;
};

/** Checks every run at the endpoints against the models of the sessions. */
class RunChecker {
public:
    void check(const RunStatement& run, const std::vector<std::unique_ptr<ModelledCaller>>& callers)
    {
        const std::size_t number = std::stoul(run.id);
        const auto expected = callers.at(number)->model.sent.find(run.id);
        RC_ASSERT(expected != callers.at(number)->model.sent.end());
        RC_ASSERT(run.values == expected->second.values);
        RC_ASSERT(run.customer == expected->second.customer);
        if (expected->second.prepared) {
            RC_ASSERT(run.prepared == *expected->second.prepared);
            const std::string name = run.text.substr(0, run.text.find(' '));
            RC_ASSERT(name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789") == std::string::npos);
            RC_ASSERT(run.text == name + ' ' + expected->second.argument);
        }
        checkTransaction(run, number, expected->second.transaction);
    }

private:
    void checkTransaction(const RunStatement& run, std::size_t number, std::size_t transaction)
    {
        // The proxy begins a transaction for a single read on the primary.
        const std::string owner
            = transaction == 0 ? run.id : std::to_string(number) + '/' + std::to_string(transaction);
        if (run.transaction != 0)
            RC_ASSERT(owners_.emplace(run.transaction, owner).first->second == owner);
        if (transaction == 0)
            return;
        RC_ASSERT(run.transaction != 0U);
        const Begun begun { run.transaction, run.connection, run.id };
        Begun& known = begun_.emplace(owner, begun).first->second;
        // The first statement may move to another endpoint, where the transaction begins anew.
        if (known.firstStatement == run.id)
            known = begun;
        RC_ASSERT(known.transaction == run.transaction);
        RC_ASSERT(known.connection == run.connection);
    }

    struct Begun {
        std::size_t transaction = 0;
        std::size_t connection = 0;
        std::string firstStatement;
    };

    /** Whose transactions those of the endpoints are. */
    std::map<std::size_t, std::string> owners_;
    /** Where the transactions of sessions are open. */
    std::map<std::string, Begun> begun_;
};

void disturb(DispatcherFixture& fixture)
{
    auto& server = fixture.endpoints.server(*rc::gen::element(fixture.a, fixture.b, fixture.c));
    switch (draw(0, 3)) {
    case 0:
        server.lostAnswers = 1;
        break;
    case 1:
        server.droppedTransactions = 1;
        break;
    default:
        server.deafBefore = fixture.endpoints.lastConnection() + 1;
        break;
    }
}

} // namespace

// Guards against statements that run with other session values, another shape, another item, outside their transaction
// or on another connection than its first statement (PINNED), with texts that are words of the wire protocol.
Test(SessionProperties, statementsRunAsTheirSessionExpects)
{
    const bool holds = rc::check([] {
        DispatcherFixture fixture;
        // Few connections, so that sessions share them.
        fixture.configuration->groups[fixture.group].maximumConnections = 4;
        fixture.dispatcher.setGroups(fixture.configuration->groups, fixture.timers.now());
        for (const EndpointId& id : { fixture.a, fixture.b, fixture.c })
            fixture.endpoints.server(id).work = Milliseconds(2);
        const bool hasCustomers = *rc::gen::arbitrary<bool>();
        fixture.dispatcher.setConnectionsByCustomer(hasCustomers);
        std::vector<std::unique_ptr<ModelledCaller>> callers;
        const auto assignCustomer = [&](std::size_t number) {
            if (!hasCustomers)
                return;
            callers[number]->model.customer = CustomerId("customer-" + std::to_string(draw(0, 2)));
            fixture.access.addKey(ModelledCaller::keyOf(number), callers[number]->model.customer.text());
        };
        const std::vector<std::string> databases { "orders", "proofs", "jobs", "orders", "jobs" };
        std::vector<std::size_t> live;
        for (const std::string& database : databases) {
            live.push_back(callers.size());
            callers.push_back(std::make_unique<ModelledCaller>(fixture, database, callers.size()));
            assignCustomer(live.back());
        }
        RunChecker checker;
        std::size_t checked = 0;
        const std::size_t steps = draw(200, 800);
        for (std::size_t step = 0; step < steps; ++step) {
            std::size_t& chosen = live[draw(0, live.size())];
            const std::size_t action = draw(0, 100);
            if (action < 1) {
                callers[chosen]->leave(fixture.timers.now());
                chosen = callers.size();
                callers.push_back(std::make_unique<ModelledCaller>(fixture, "orders", chosen));
                assignCustomer(chosen);
            } else if (action < 2 && !callers[chosen]->isWaiting()) {
                assignCustomer(chosen);
            } else if (action < 4) {
                disturb(fixture);
            } else {
                callers[chosen]->sendRandom();
            }
            if (draw(0, 3) == 0)
                fixture.advance(Milliseconds(draw(1, 60)));
            for (const auto& caller : callers)
                caller->noteAnswer();
            for (; checked < fixture.endpoints.runs().size(); ++checked)
                checker.check(fixture.endpoints.runs()[checked], callers);
        }
        RC_TAG(checked > 50 ? "over 50 runs" : "fewer runs");
    });
    cr_assert(holds);
}
