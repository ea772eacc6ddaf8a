#include "almondlever/consistency/SessionToken.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

SessionState makeState(int databases, const std::string& prefix)
{
    SessionState state;
    for (int number = 0; number < databases; ++number)
        state.observe(
            DatabaseId(prefix + std::to_string(number)), { 1000000, static_cast<std::uint64_t>(number) << 33U });
    return state;
}

TokenError errorOf(const SessionTokenCodec& codec, const std::string& token)
{
    const auto result = codec.decode(token);
    cr_assert(!result.hasValue());
    return result.error();
}

} // namespace

// Guards against losing a session position when it is encoded in a token (P1).
Test(SessionToken, keepsPositions)
{
    const SessionTokenCodec codec("secret");
    SessionState state;
    state.observe(DatabaseId("ledger"), { 3, 9 });
    state.observe(DatabaseId("ledger"), { 2, 400 });
    const auto decoded = codec.decode(codec.encode(state));
    cr_assert(decoded.hasValue());
    cr_assert(decoded.value().positions.at(DatabaseId("ledger")) == LogPosition({ 3, 9 }));
    cr_assert(!decoded.value().isTruncated);
}

// Guards against tokens that grow without bound and against dropping positions without marking the token as truncated.
Test(SessionToken, staysWithinSizeLimit)
{
    const SessionTokenCodec codec("secret");
    const SessionState many = makeState(60, "db");
    cr_assert(many.positions.size() == maximumTokenDatabases && many.isTruncated);
    cr_assert(many.positions.count(DatabaseId("db59")) == 1 && many.positions.count(DatabaseId("db0")) == 0);

    const std::string token = codec.encode(makeState(40, std::string(200, 'n')));
    cr_assert(token.size() <= maximumTokenBytes);
    const auto decoded = codec.decode(token);
    cr_assert(decoded.hasValue() && decoded.value().isTruncated && decoded.value().positions.size() > 8);
}

// Guards against an error that does not tell why a token was refused, and against accepting any of these tokens.
Test(SessionToken, refusesWithDistinctErrors)
{
    const SessionTokenCodec codec("secret");
    const std::string token = codec.encode(makeState(3, "db"));
    cr_assert(errorOf(codec, std::string(maximumTokenBytes + 1, 'A')) == TokenError::Oversized);
    cr_assert(errorOf(codec, "no token!") == TokenError::Malformed);
    cr_assert(errorOf(codec, "") == TokenError::Truncated);
    cr_assert(errorOf(codec, token.substr(0, token.size() / 2)) == TokenError::Truncated);
    cr_assert(errorOf(SessionTokenCodec("other"), token) == TokenError::OtherCluster);
}

// Guards against a forged position: every change of a single character must be refused.
Test(SessionToken, refusesEveryChangedCharacter)
{
    const SessionTokenCodec codec("secret");
    const std::string token = codec.encode(makeState(2, "db"));
    for (std::size_t index = 0; index < token.size(); ++index) {
        std::string forged = token;
        forged[index] = forged[index] == 'A' ? 'B' : 'A';
        cr_assert(!codec.decode(forged).hasValue(), "character %zu", index);
    }
    std::string forged = token;
    forged[token.size() / 2] = forged[token.size() / 2] == 'A' ? 'B' : 'A';
    cr_assert(errorOf(codec, forged) == TokenError::BadSignature);
}
