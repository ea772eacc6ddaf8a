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

// Guards against losing a field of a forwarded statement.
Test(SessionMessages, keepsStatementOnRoundTrip)
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

// Guards against a caller who ends the channel between two daemons, and with it the statements of others: whatever a
// session accepts must be readable at the other daemon.
Test(SessionMessages, whateverASessionAcceptsIsReadable)
{
    SessionStatement longId;
    longId.statement = { std::string(300, 'i'), StatementKind::Read, "READ x", "", "", false };
    cr_expect(decodeMessage(encodeMessage(longId)).hasValue(), "an id of 300 bytes");
    SessionStatement manyValues;
    manyValues.statement = { "5c0e", StatementKind::Read, "READ x", "", "", false };
    for (int number = 0; number < 1100; ++number)
        manyValues.contents.values["v" + std::to_string(number)] = "1";
    cr_expect(decodeMessage(encodeMessage(manyValues)).hasValue(), "1100 session values");
    SessionStatement large;
    large.statement = { "5c0e", StatementKind::Execute, "EXECUTE s1 x " + std::string(600000, 'd'), "s1",
        std::string(600000, 'd'), false };
    cr_expect_leq(encodeMessage(large).size(), maximumMessageBytes, "data of 600 kB");
}

// Guards against executing a prepared statement whose text was not sent.
Test(SessionMessages, refusesExecuteWithoutPreparedStatement)
{
    SessionStatement message;
    message.statement = { "5c0e", StatementKind::Execute, "EXECUTE s1 x", "s1", "x", false };
    cr_assert(!decodeMessage(encodeMessage(message)).hasValue());
}

// Guards against answers that lose rows, errors or the transaction.
Test(SessionMessages, keepsAnswerOnRoundTrip)
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

// Guards against a suspicion whose duration, group or primary changes in transit, so that a peer confirms or denies the
// wrong one.
Test(SessionMessages, keepsPrimarySuspicionOnRoundTrip)
{
    const PrimarySuspicion suspicion
        = roundTrip(PrimarySuspicion { 3, GroupId("ledger"), EndpointId("a"), Milliseconds(420) });
    cr_assert_eq(suspicion.number, 3U);
    cr_assert(suspicion.group == GroupId("ledger"));
    cr_assert(suspicion.primary == EndpointId("a"));
    cr_assert(suspicion.silentFor == Milliseconds(420));
    const PrimarySuspicionAnswer answer = roundTrip(PrimarySuspicionAnswer { 3, PrimaryOpinion::Fails });
    cr_assert_eq(answer.number, 3U);
    cr_assert(answer.opinion == PrimaryOpinion::Fails);
}

// Guards against decoding a liveness probe or its answer as another message.
Test(SessionMessages, keepsOwnerProbeOnRoundTrip)
{
    roundTrip(OwnerProbe {});
    roundTrip(OwnerProbeAnswer {});
}

// Guards against store updates that lose deletions or bytes.
Test(SessionMessages, keepsStoreUpdateOnRoundTrip)
{
    StoreUpdate update;
    update.prefix = "op/";
    update.revision = 99;
    update.isSnapshot = true;
    update.age = Milliseconds(7);
    StoreItem item;
    item.key = "op/config";
    item.value = std::string("\x00\xff", 2);
    item.revision = 98;
    StoreItem deleted;
    deleted.key = "op/old";
    deleted.revision = 97;
    deleted.isDeleted = true;
    update.items = { item, deleted };
    const StoreUpdate copy = roundTrip(update);
    cr_assert_eq(copy.items.size(), 2U);
    cr_assert_eq(copy.items[0].value, item.value);
    cr_assert(copy.items[1].isDeleted);
    cr_assert(copy.isSnapshot);
    cr_assert(copy.age == Milliseconds(7));
    StoreUpdateRequest request;
    request.known = { { "op/", 5 }, { "servers/", 0 } };
    const StoreUpdateRequest requestCopy = roundTrip(request);
    cr_assert_eq(requestCopy.known.size(), 2U);
    cr_assert_eq(requestCopy.known[0].revision, 5U);
}
