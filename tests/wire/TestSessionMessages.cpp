#include "almondlever/wire/Messages.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

template <typename Type> Type roundTrip(const Type& message)
{
    const auto decoded = decodeMessage(encodeMessage(message));
    cr_assert(decoded.hasValue());
    cr_assert(std::holds_alternative<Type>(decoded.value()));
    return std::get<Type>(decoded.value());
}

} // namespace

// Guards against a field of a forwarded statement that does not arrive.
Test(SessionMessages, statementSurvivesTheWire)
{
    SessionStatement message;
    message.correlation = (std::uint64_t { 1 } << 62U) + 5;
    message.statement = { "5c0e", StatementKind::Execute, "EXECUTE s1 x", "s1", "x", false };
    message.group = GroupId("ledger");
    message.rank = 2;
    message.timeLeft = Milliseconds(900);
    message.isWrite = true;
    message.needsPrimary = true;
    message.opensTransaction = true;
    message.isReadOnlyTransaction = true;
    message.maximumStaleness = Milliseconds(1500);
    message.sessionPosition = LogPosition { 3, 9 };
    message.contents.values = { { "zone", "1" } };
    message.contents.prepared = { { "s1", { true, "q2c" } } };
    message.transaction = 77;
    const SessionStatement copy = roundTrip(message);
    cr_assert_eq(copy.correlation, message.correlation);
    cr_assert_eq(copy.statement.id, "5c0e");
    cr_assert(copy.statement.kind == StatementKind::Execute);
    cr_assert_eq(copy.statement.text, "EXECUTE s1 x");
    cr_assert_eq(copy.statement.argument, "x");
    cr_assert(copy.group == message.group);
    cr_assert_eq(copy.rank, 2U);
    cr_assert(copy.timeLeft == Milliseconds(900));
    cr_assert(copy.isWrite && copy.needsPrimary && copy.opensTransaction && copy.isReadOnlyTransaction);
    cr_assert(copy.maximumStaleness == Milliseconds(1500));
    cr_assert(*copy.sessionPosition == LogPosition({ 3, 9 }));
    cr_assert(copy.contents.values == message.contents.values);
    cr_assert(copy.contents.prepared.at("s1") == PreparedStatement({ true, "q2c" }));
    cr_assert_eq(copy.transaction, 77U);
}

// Guards against executing a prepared statement whose shape did not arrive.
Test(SessionMessages, executionNeedsItsShape)
{
    SessionStatement message;
    message.statement = { "5c0e", StatementKind::Execute, "EXECUTE s1 x", "s1", "x", false };
    cr_assert(!decodeMessage(encodeMessage(message)).hasValue());
}

// Guards against answers that lose rows, errors or the transaction.
Test(SessionMessages, answerSurvivesTheWire)
{
    SessionAnswer message;
    message.correlation = 4;
    message.reply.rows = { "a", "" };
    message.reply.detail = "sig";
    message.reply.state = TransactionState::Open;
    message.reply.position = LogPosition { 2, 1 };
    message.transaction = 8;
    message.endpoint = EndpointId("i-1");
    message.attempts = 2;
    const SessionAnswer copy = roundTrip(message);
    cr_assert_eq(copy.reply.rows.size(), 2U);
    cr_assert(!copy.reply.error);
    cr_assert_eq(copy.reply.detail, "sig");
    cr_assert(copy.reply.state == TransactionState::Open);
    cr_assert(*copy.reply.position == LogPosition({ 2, 1 }));
    cr_assert_eq(copy.transaction, 8U);
    SessionAnswer busy;
    busy.reply.error = StatementError::Busy;
    cr_assert(roundTrip(busy).reply.error == StatementError::Busy);
    cr_assert(!roundTrip(busy).reply.position);
    cr_assert_eq(roundTrip(SessionTransactionEnd { 9 }).transaction, 9U);
    cr_assert_eq(roundTrip(SessionAbandon { 9 }).correlation, 9U);
}

// Guards against a doubt whose duration or subject changes on the way, which would make another daemon vouch wrongly.
Test(SessionMessages, doubtsSurviveTheWire)
{
    const PrimaryDoubt doubt = roundTrip(PrimaryDoubt { 3, GroupId("ledger"), EndpointId("a"), Milliseconds(420) });
    cr_assert_eq(doubt.number, 3U);
    cr_assert(doubt.group == GroupId("ledger"));
    cr_assert(doubt.primary == EndpointId("a"));
    cr_assert(doubt.silentFor == Milliseconds(420));
    const PrimaryDoubtAnswer answer = roundTrip(PrimaryDoubtAnswer { 3, PrimaryOpinion::Fails });
    cr_assert_eq(answer.number, 3U);
    cr_assert(answer.opinion == PrimaryOpinion::Fails);
}

// Guards against a question whether an owner is alive that is taken for another message.
Test(SessionMessages, questionsToOwnersSurviveTheWire)
{
    roundTrip(OwnerQuestion {});
    roundTrip(OwnerAlive {});
}

// Guards against news of the store that lose deletions or bytes.
Test(SessionMessages, storeNewsSurviveTheWire)
{
    StoreNews news;
    news.prefix = "op/";
    news.revision = 99;
    news.isSnapshot = true;
    news.age = Milliseconds(7);
    StoreItem item;
    item.key = "op/config";
    item.value = std::string("\x00\xff", 2);
    item.revision = 98;
    StoreItem deleted;
    deleted.key = "op/old";
    deleted.revision = 97;
    deleted.isDeleted = true;
    news.items = { item, deleted };
    const StoreNews copy = roundTrip(news);
    cr_assert_eq(copy.items.size(), 2U);
    cr_assert_eq(copy.items[0].value, item.value);
    cr_assert(copy.items[1].isDeleted);
    cr_assert(copy.isSnapshot);
    cr_assert(copy.age == Milliseconds(7));
    StoreNewsRequest request;
    request.known = { { "op/", 5 }, { "servers/", 0 } };
    const StoreNewsRequest requestCopy = roundTrip(request);
    cr_assert_eq(requestCopy.known.size(), 2U);
    cr_assert_eq(requestCopy.known[0].revision, 5U);
}
