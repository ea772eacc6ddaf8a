#include "almondlever/capacity/OwnerReports.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Bytes of a message besides its reports: CBOR map, WebSocket frame, TCP and IP headers. */
    constexpr double envelopeBytes = 80;

} // namespace

OwnerReports::OwnerReports(VmId self, const OwnerReportSettings& settings)
    : self_(std::move(self))
    , settings_(settings)
    , budget_(static_cast<double>(settings.burstBytes))
{
}

void OwnerReports::setOwners(const std::map<GroupId, std::vector<LiveDaemon>>& owned)
{
    std::map<VmId, Peer> former = std::move(peers_);
    peers_.clear();
    for (const auto& [group, owners] : owned) {
        for (const LiveDaemon& owner : owners) {
            if (owner.id == self_)
                continue;
            Peer& peer = peers_[owner.id];
            peer.address = owner.peerAddress;
            peer.groups.push_back(group);
            const auto known = former.find(owner.id);
            if (known != former.end())
                peer.sentAt = known->second.sentAt;
        }
    }
    for (auto it = received_.begin(); it != received_.end();)
        it = owned.count(it->first.second) > 0 ? std::next(it) : received_.erase(it);
}

void OwnerReports::refill(TimePoint now)
{
    if (refilledAt_) {
        const double seconds = std::chrono::duration<double>(now - *refilledAt_).count();
        budget_ = std::min(budget_ + seconds * static_cast<double>(settings_.bytesPerSecond),
            static_cast<double>(settings_.burstBytes));
    }
    refilledAt_ = now;
}

void OwnerReports::charge(const std::vector<GroupReport>& reports)
{
    budget_ -= envelopeBytes;
    for (const GroupReport& report : reports)
        budget_ -= static_cast<double>(encodedSize(report));
}

bool OwnerReports::isDue(const Peer& peer, TimePoint now) const
{
    return !peer.sentAt || now - *peer.sentAt >= settings_.interval;
}

std::vector<GroupReport> OwnerReports::makeReports(const Peer& peer, TimePoint now)
{
    std::vector<GroupReport> reports;
    for (const GroupId& group : peer.groups) {
        GroupReport report;
        report.group = group;
        report.period = settings_.period;
        for (GroupReportParticipant* participant : participants_)
            participant->fillReport(report, now);
        if (report.endpoints.empty() && report.customers.empty())
            continue;
        if (report.endpoints.size() > maximumReportedKinds)
            report.endpoints.resize(maximumReportedKinds);
        if (report.customers.size() > maximumReportedCustomers)
            report.customers.resize(maximumReportedCustomers);
        report.number = ++lastNumber_;
        reports.push_back(std::move(report));
        if (reports.size() == maximumReports)
            break;
    }
    return reports;
}

std::vector<OutgoingReports> OwnerReports::takeDue(TimePoint now)
{
    std::vector<OutgoingReports> due;
    if (participants_.empty())
        return due;
    refill(now);
    // Whoever waits longest comes first, so that a small budget reaches all.
    std::vector<std::pair<const VmId*, Peer*>> waiting;
    for (auto& [id, peer] : peers_) {
        if (isDue(peer, now))
            waiting.emplace_back(&id, &peer);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const auto& left, const auto& right) { return left.second->sentAt < right.second->sentAt; });
    for (const auto& [id, peer] : waiting) {
        if (budget_ <= 0)
            break;
        peer->sentAt = now;
        std::vector<GroupReport> reports = makeReports(*peer, now);
        if (reports.empty())
            continue;
        charge(reports);
        due.push_back({ *id, peer->address, std::move(reports) });
    }
    return due;
}

std::vector<GroupReport> OwnerReports::reportsFor(const VmId& id, TimePoint now)
{
    const auto found = peers_.find(id);
    if (participants_.empty() || found == peers_.end() || !isDue(found->second, now))
        return {};
    refill(now);
    if (budget_ <= 0)
        return {};
    found->second.sentAt = now;
    std::vector<GroupReport> reports = makeReports(found->second, now);
    if (!reports.empty())
        charge(reports);
    return reports;
}

void OwnerReports::onReports(const VmId& from, const std::vector<GroupReport>& reports, TimePoint now)
{
    for (const GroupReport& report : reports) {
        const auto found = received_.find({ from, report.group });
        const bool isSuperseded = found != received_.end() && report.number <= found->second.number
            && now - found->second.at < settings_.lifetime;
        const auto peer = peers_.find(from);
        const bool isOwned = peer != peers_.end()
            && std::find(peer->second.groups.begin(), peer->second.groups.end(), report.group)
                != peer->second.groups.end();
        if (isSuperseded || !isOwned)
            continue;
        received_[{ from, report.group }] = { report.number, now };
        for (GroupReportParticipant* participant : participants_)
            participant->onReport(from, report, now);
    }
}

void OwnerReports::onLoss(const VmId& peer)
{
    for (auto it = received_.begin(); it != received_.end();)
        it = it->first.first == peer ? received_.erase(it) : std::next(it);
}

} // namespace almondlever
