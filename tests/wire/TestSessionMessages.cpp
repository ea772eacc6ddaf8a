#include "almondlever/wire/Messages.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace almondlever;

namespace {

template <typename Type> Type roundTrip(const Type& message)
{
    const auto decoded = decodeMessage(encodeMessage(message));
    cr_assert(decoded.hasValue());
    cr_assert(std::holds_alternative<Type>(decoded.value()));
    return std::get<Type>(decoded.value());
}

std::string toHex(const std::string& bytes)
{
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += "0123456789abcdef"[byte >> 4U];
        text += "0123456789abcdef"[byte & 0xfU];
    }
    return text;
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

// Guards against closing the channel between two daemons, and with it the statements of all callers on it, because of a
// route whose priority is a large number.
Test(SessionMessages, anyRankIsReadable)
{
    SessionStatement message;
    message.statement = { "5c0e", StatementKind::Read, "READ x", "", "", false };
    message.rank = 1000000;
    const auto decoded = decodeMessage(encodeMessage(message));
    cr_assert(decoded.hasValue());
    cr_assert_geq(std::get<SessionStatement>(decoded.value()).rank, 255U);
}

// Guards against a daemon of the former version that cannot read the statements and answers of this one, or the other
// way round, while VMs are replaced. The bytes are those of the former version (77823ea).
Test(SessionMessages, areReadByTheFormerVersion)
{
    const std::string formerStatement
        = "b56161637820796163076263756473686f7061641903846167666c656467657261696435633065616b08626d731905dc616e"
          "627331626e70f5626f74f56270736c713720524541442061727065627077f561720262737082030c6273768182647a6f6e65"
          "63310a326174076274746e4558454355544520733120782079627478184d6176016177f5";
    const std::string formerAnswer
        = "aa626174026163076264656373696762656e63692d31617082030d62726f8163610a62617301617408627478184d617601";
    SessionStatement statement;
    statement.correlation = 7;
    statement.statement = { "5c0e", StatementKind::Execute, "EXECUTE s1 x y", "s1", "x y", false };
    statement.group = GroupId("ledger");
    statement.customer = CustomerId("shop");
    statement.rank = 2;
    statement.timeLeft = Milliseconds(900);
    statement.isWrite = true;
    statement.needsPrimary = true;
    statement.opensTransaction = true;
    statement.maximumStaleness = Milliseconds(1500);
    statement.sessionPosition = LogPosition { 3, 12 };
    statement.contents.values["zone"] = "1\n2";
    statement.contents.prepared["s1"] = { true, "q7 READ arpe" };
    statement.transaction = 77;
    cr_assert(toHex(encodeMessage(statement)) == formerStatement);
    SessionAnswer answer;
    answer.correlation = 7;
    answer.reply.rows = { "a\nb" };
    answer.reply.detail = "sig";
    answer.reply.state = TransactionState::Open;
    answer.reply.position = LogPosition { 3, 13 };
    answer.transaction = 77;
    answer.endpoint = EndpointId("i-1");
    answer.attempts = 2;
    cr_assert(toHex(encodeMessage(answer)) == formerAnswer);
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

// Guards against a message that passes the check of the sender and is refused by the receiver, which closes the
// channel.
Test(SessionMessages, receiverAcceptsWhatIsForwardable)
{
    const bool isPassed = rc::check("forwardable messages are accepted", [] {
        constexpr std::size_t margin = 1500;
        const auto length = *rc::gen::inRange<std::size_t>(maximumMessageBytes - margin, maximumMessageBytes + margin);
        const auto values = *rc::gen::inRange<std::size_t>(0, 1200);
        SessionStatement statement;
        statement.correlation = statement.transaction = ~std::uint64_t { 0 };
        statement.statement
            = { std::string(*rc::gen::inRange(0, 300), 'i'), StatementKind::Execute, "EXECUTE s x", "s", "x", false };
        statement.group = GroupId("ledger");
        statement.timeLeft = statement.maximumStaleness = Milliseconds(std::int64_t { 1 } << 40U);
        statement.isWrite = statement.needsPrimary = statement.opensTransaction = true;
        statement.sessionPosition = LogPosition { ~std::uint64_t { 0 }, ~std::uint64_t { 0 } };
        for (std::size_t value = 0; value < values; ++value)
            statement.contents.values[std::to_string(value)] = "v";
        std::size_t rest = length;
        for (const auto& [name, value] : statement.contents.values)
            rest -= 5 + name.size() + value.size();
        statement.contents.prepared["s"] = { true, std::string(rest / 2, 's') };
        statement.statement.argument = std::string(rest - rest / 2, 'a');
        if (isForwardable(statement))
            RC_ASSERT(decodeMessage(encodeMessage(statement)).hasValue());
        SessionAnswer answer;
        answer.correlation = answer.transaction = ~std::uint64_t { 0 };
        answer.reply.position = statement.sessionPosition;
        const auto rows = *rc::gen::inRange<std::size_t>(1, 70000);
        answer.reply.rows.assign(rows, std::string(length / rows - 5, 'r'));
        if (isForwardable(answer))
            RC_ASSERT(decodeMessage(encodeMessage(answer)).hasValue());
        RC_TAG(isForwardable(statement) || isForwardable(answer));
    });
    cr_assert(isPassed);
}

// Guards against bytes that change on the way between daemons: line ends, NUL and bytes that are no UTF-8 text, in any
// text of a statement or an answer.
Test(SessionMessages, keepsEveryByteOfItsTexts)
{
    const bool isPassed = rc::check("texts keep their bytes", [] {
        const auto bytes = [] { return *rc::gen::container<std::string>(rc::gen::arbitrary<char>()); };
        SessionStatement statement;
        statement.statement = { bytes(), StatementKind::Execute, bytes(), bytes(), bytes(), false };
        statement.group = GroupId(bytes());
        statement.customer = CustomerId(bytes());
        statement.contents.values = { { bytes(), bytes() }, { "\r\n", std::string("\0\xff\r\n", 4) } };
        statement.contents.prepared[statement.statement.name] = { true, bytes() };
        const SessionStatement copy = roundTrip(statement);
        RC_ASSERT(copy.statement.id == statement.statement.id);
        RC_ASSERT(copy.statement.text == statement.statement.text);
        RC_ASSERT(copy.statement.name == statement.statement.name);
        RC_ASSERT(copy.statement.argument == statement.statement.argument);
        RC_ASSERT(copy.group == statement.group);
        RC_ASSERT(copy.customer == statement.customer);
        RC_ASSERT(copy.contents.values == statement.contents.values);
        RC_ASSERT(copy.contents.prepared == statement.contents.prepared);
        SessionAnswer answer;
        answer.reply.rows = { bytes(), "", bytes(), std::string("\0\xff\r\n", 4) };
        answer.reply.detail = bytes();
        answer.endpoint = EndpointId(bytes());
        const SessionAnswer answerCopy = roundTrip(answer);
        RC_ASSERT(answerCopy.reply.rows == answer.reply.rows);
        RC_ASSERT(answerCopy.reply.detail == answer.reply.detail);
        RC_ASSERT(answerCopy.endpoint == answer.endpoint);
    });
    cr_assert(isPassed);
}
