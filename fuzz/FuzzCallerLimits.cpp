#include "almondlever/limits/CallerLimits.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <vector>

using namespace almondlever;

namespace {

void check(bool isTrue)
{
    if (!isTrue)
        std::abort();
}

class FuzzedConnection final : public LimitedConnection {
public:
    void scheduleClose(LimitReason reason) override
    {
        check(!closed);
        closed = reason;
    }
    void scheduleResume() override { check(!closed); }

    std::optional<LimitReason> closed;
    std::unique_ptr<CallerAccount> account;
};

constexpr std::size_t connectionCount = 8;
constexpr std::size_t kibibyte = 1024;

LimitSettings smallSettings()
{
    LimitSettings settings;
    settings.callerDescriptors = connectionCount / 2;
    settings.mediumStatementBytes = 2 * settings.statementCopies * settings.mediumMessageBytes;
    settings.largeStatementBytes = settings.statementCopies * kibibyte * kibibyte;
    settings.sessionStateBytes = kibibyte * kibibyte;
    settings.unreadResponseBytes = kibibyte * kibibyte;
    settings.logLinesPerSecond = 0.1;
    return settings;
}

void apply(CallerLimits& limits, FuzzedConnection& connection, unsigned event, std::size_t size, TimePoint& now)
{
    if (!connection.account) {
        connection.closed.reset();
        connection.account = limits.accept(connection, now);
        return;
    }
    CallerAccount& account = *connection.account;
    switch (event) {
    case 0:
        if (account.mayContinue())
            account.onIncompleteMessage(size * 16, now);
        break;
    case 1:
        account.onSession(size % 2 == 0 ? "orders" : "proofs", now);
        break;
    case 2:
        account.onStatement(size, now);
        account.onMessage(now);
        break;
    case 3:
        account.onAnswer(size % 3 == 0, now);
        break;
    case 4:
        account.onUnreadResponses(size * 32, now);
        break;
    case 5:
        account.holdSessionState(size * 16, size % 100, now);
        break;
    case 6:
        now += CallerLimits::tickInterval * static_cast<int>(1 + size % 16);
        limits.onTick(now);
        break;
    default:
        connection.account.reset();
        break;
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const LimitSettings settings = smallSettings();
    Metrics metrics;
    CallerLimits limits(settings, metrics);
    std::vector<FuzzedConnection> connections(connectionCount);
    TimePoint now { std::chrono::seconds(1000) };
    for (std::size_t at = 0; at + 3 <= size; at += 3) {
        const std::size_t amount = data[at + 1] * std::size_t { 256 } + data[at + 2];
        apply(limits, connections[data[at] % connectionCount], data[at] / connectionCount % 8, amount, now);
        check(limits.held() == limits.sumOverAccounts());
        check(limits.held().mediumStatements <= settings.mediumStatementBytes);
        check(limits.held().largeStatements <= settings.largeStatementBytes);
        check(limits.held().sessionState <= settings.sessionStateBytes);
        check(limits.connections() <= settings.callerDescriptors);
    }
    connections.clear();
    check(limits.held() == HeldBytes());
    check(limits.connections() == 0);
    return 0;
}
