#include "almondlever/pooling/LinkRetention.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    double decay(Duration elapsed, Milliseconds halfLife)
    {
        return elapsed <= Duration(0) ? 1 : std::exp2(-(std::chrono::duration<double>(elapsed) / halfLife));
    }

} // namespace

void LinkRetention::noteStatement(const CustomerId& customer, TimePoint now)
{
    if (demand_.size() >= settings_.maximumCustomers && demand_.count(customer) == 0)
        demand_.clear();
    Demand& demand = demand_[customer];
    demand.statements = demand.statements * decay(now - demand.at, settings_.demandHalfLife) + 1;
    demand.at = now;
}

double LinkRetention::requestRate(const CustomerId& customer, TimePoint now) const
{
    const auto found = demand_.find(customer);
    if (found == demand_.end())
        return 0;
    // A constant rate r leads to a sum of r * halfLife / ln 2.
    const double meanAge = std::chrono::duration<double>(settings_.demandHalfLife).count() / std::log(2.0);
    return found->second.statements * decay(now - found->second.at, settings_.demandHalfLife) / meanAge;
}

double LinkRetention::useRate(const CustomerId& customer, std::size_t count, Duration held, TimePoint now) const
{
    const double rate = requestRate(customer, now);
    const double offered = rate * std::chrono::duration<double>(held).count();
    double useRate = rate;
    for (std::size_t busy = 1; busy < count; ++busy)
        useRate *= std::min(offered / static_cast<double>(busy), 1.0);
    return useRate;
}

std::optional<LinkRetention::Candidate> LinkRetention::leastUseful(
    const std::vector<RetainableLink>& links, Duration held, TimePoint now) const
{
    std::optional<Candidate> least;
    for (std::size_t index = 0; index < links.size(); ++index) {
        const RetainableLink& link = links[index];
        if (!link.isIdle)
            continue;
        const auto count = static_cast<std::size_t>(std::count_if(links.begin(), links.end(),
            [&link](const RetainableLink& other) { return *other.customer == *link.customer; }));
        const double rate = useRate(*link.customer, count, held, now);
        const bool isLess = !least || rate < least->useRate
            || (rate <= least->useRate && link.idleSince < links[least->index].idleSince);
        if (isLess)
            least = Candidate { index, rate };
    }
    return least;
}

std::optional<std::size_t> LinkRetention::chooseForRoom(
    const std::vector<RetainableLink>& links, Duration held, TimePoint now) const
{
    const std::optional<Candidate> least = leastUseful(links, held, now);
    return least ? std::optional<std::size_t>(least->index) : std::nullopt;
}

std::optional<std::size_t> LinkRetention::chooseSurplus(
    const std::vector<RetainableLink>& links, Duration held, TimePoint now) const
{
    const std::optional<Candidate> least = leastUseful(links, held, now);
    if (!least || now - links[least->index].idleSince < settings_.minimumIdleTime)
        return std::nullopt;
    const double horizon = std::chrono::duration<double>(settings_.surplusHorizon).count();
    return least->useRate * horizon < 1 ? std::optional<std::size_t>(least->index) : std::nullopt;
}

} // namespace almondlever
