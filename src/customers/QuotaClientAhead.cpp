#include "almondlever/customers/QuotaClient.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Part of aheadLifetime that is left when held operations are renewed; several attempts fit into it. */
    constexpr double renewalShare = 0.3;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

std::uint64_t QuotaClient::countHeld(const Account& account, TimePoint now)
{
    std::uint64_t held = 0;
    for (const auto& [coordinator, stock] : account.stocks)
        held += now < stock.until ? stock.operations : 0;
    return held;
}

std::uint64_t QuotaClient::wantedAhead(const Account& account) const
{
    return 1 + static_cast<std::uint64_t>(account.ratePerSecond * toSeconds(settings_.aheadDemand));
}

bool QuotaClient::takeHeld(Account& account, TimePoint now)
{
    Stock* first = nullptr;
    for (auto& [coordinator, stock] : account.stocks) {
        const bool isUsable = stock.operations > 0 && now < stock.until;
        if (isUsable && (!first || stock.until < first->until))
            first = &stock;
    }
    if (!first)
        return false;
    --first->operations;
    metrics_.count("almondlever_quota_operations_total", "source=\"held\"");
    return true;
}

void QuotaClient::replenish(const CustomerId& id, Account& account, TimePoint now)
{
    if (!account.open && countHeld(account, now) < wantedAhead(account))
        askAhead(id, account, now);
}

void QuotaClient::askAhead(const CustomerId& id, Account& account, TimePoint now)
{
    for (const LiveDaemon& coordinator : candidatesFor(id, account, now)) {
        if (send(id, account, coordinator, makeRequest(id, account, coordinator.id, now), now))
            return;
    }
}

void QuotaClient::renewHeld(TimePoint now)
{
    const Duration left = std::chrono::duration_cast<Duration>(settings_.aheadLifetime * renewalShare);
    for (auto& [id, account] : accounts_) {
        bool mustRenew = false;
        for (auto it = account.stocks.begin(); it != account.stocks.end();) {
            const Stock& stock = it->second;
            const bool isOver = stock.operations == 0 || now >= stock.until;
            if (now >= stock.until && stock.operations > 0)
                metrics_.count("almondlever_quota_held_lapsed_total", "reason=\"lifetime\"", stock.operations);
            mustRenew = mustRenew || (!isOver && stock.until - now < left);
            it = isOver ? account.stocks.erase(it) : std::next(it);
        }
        if (mustRenew && !account.open && now - account.lastRequestAt < settings_.aheadIdleTime)
            askAhead(id, account, now);
    }
}

void QuotaClient::applyAhead(
    const CustomerId& id, Account& account, const OpenRequest& open, const QuotaAnswer& answer, TimePoint now)
{
    if (answer.aheadLifetime == Milliseconds(0)) {
        grantsAhead_.erase(open.coordinator);
        return;
    }
    grantsAhead_.insert(open.coordinator);
    if (answer.ahead > 0) {
        // Operations used while the answer was under way are part of the total that it states.
        Stock& stock = account.stocks[open.coordinator];
        const std::uint64_t used = open.held - std::min(open.held, stock.operations);
        stock.operations = answer.ahead - std::min(answer.ahead, used);
        stock.until = open.sentAt + answer.aheadLifetime;
    }
    const std::uint64_t held = countHeld(account, now);
    const std::uint64_t wanted = wantedAhead(account);
    const bool isAhead = answer.ahead > 0;
    metrics_.count("almondlever_quota_ahead_answers_total", isAhead ? "reason=\"granted\"" : "reason=\"withheld\"");
    if (isAhead == account.isAhead)
        return;
    account.isAhead = isAhead;
    // Rank 1: the line is not urgent, so that it counts towards the limit of lines.
    if (!log_.admits(1, now))
        return;
    log_.write("quota_ahead",
        { { "customer", id.text() }, { "outcome", isAhead ? "granted" : "withheld" },
            { "coordinator", open.coordinator.text() }, { "wanted", std::to_string(wanted) },
            { "held", std::to_string(held) }, { "granted", std::to_string(answer.ahead) },
            { "lifetime_ms", std::to_string(answer.aheadLifetime.count()) },
            { "rate_here_per_s", std::to_string(account.ratePerSecond) } });
}

void QuotaClient::serveFromHeld(Account& account, TimePoint now)
{
    for (const bool areUrgent : { true, false }) {
        const std::uint64_t waiting = countWaiting(account, lastTicket_, areUrgent);
        std::uint64_t served = 0;
        while (served < waiting && takeHeld(account, now))
            ++served;
        grantWaiting(account, served, lastTicket_, areUrgent, now);
    }
}

} // namespace almondlever
