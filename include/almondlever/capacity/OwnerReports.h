#pragma once

#include "almondlever/membership/MembershipView.h"
#include "almondlever/wire/GroupReport.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Contributes to the reports of this daemon, and uses those of the other owners. */
class GroupReportParticipant {
public:
    virtual ~GroupReportParticipant() = default;

    /** Adds what was observed of the group within report.period before now. */
    virtual void fillReport(GroupReport&, TimePoint now) = 0;
    /** A newer report of another owner of the group; it replaces the one that the sender sent before. */
    virtual void onReport(const VmId& from, const GroupReport&, TimePoint now) = 0;
};

/** Intervals and limits of OwnerReports. */
struct OwnerReportSettings {
    /** Time that a report covers; a few statements of each common kind at six statements a second. */
    Milliseconds period { 4000 };
    /** Shortest time between two reports to the same owner. */
    Milliseconds interval { 2000 };
    /** Age after which a report is not used any more. */
    Milliseconds lifetime { 8000 };
    /** Bytes per second for reports; the requirement is 1,000 for all parts of contended-load.md. */
    std::size_t bytesPerSecond = 800;
    /** Largest burst: one exchange with each other owner of a group. */
    std::size_t burstBytes = 3200;
};

/** An OwnerProbe to be sent. */
struct OutgoingReports {
    VmId to;
    std::string address;
    std::vector<GroupReport> reports;
};

/**
 * Decides which reports this daemon sends to which other owner of its groups and when, and which received ones count.
 *
 * A report is sent in an OwnerProbe, whose answer carries the reports of the receiver, so that one exchange serves both
 * ends. A byte budget bounds all reports: with more groups, each owner hears of this daemon less often. Not
 * thread-safe.
 */
class OwnerReports {
public:
    OwnerReports(VmId self, const OwnerReportSettings& settings = {});

    /** Participants must outlive this object. Without any, nothing is sent. */
    void addParticipant(GroupReportParticipant& participant) { participants_.push_back(&participant); }
    /** Sets the owners of the groups that this daemon owns, this daemon included. */
    void setOwners(const std::map<GroupId, std::vector<LiveDaemon>>&);
    /** Returns the exchanges that are due; the caller sends them. */
    std::vector<OutgoingReports> takeDue(TimePoint now);
    /** Returns the reports for the answer to a probe; empty when the peer was sent some lately. */
    std::vector<GroupReport> reportsFor(const VmId& peer, TimePoint now);
    /** Passes on those reports that are newer than the sender's former ones. */
    void onReports(const VmId& from, const std::vector<GroupReport>&, TimePoint now);
    /** The channel to the peer was lost; a restarted daemon numbers its reports anew. */
    void onLoss(const VmId& peer);

private:
    struct Peer {
        std::string address;
        std::vector<GroupId> groups;
        std::optional<TimePoint> sentAt;
    };
    struct Received {
        std::uint64_t number = 0;
        TimePoint at;
    };

    bool isDue(const Peer&, TimePoint now) const;
    std::vector<GroupReport> makeReports(const Peer&, TimePoint now);
    /** Charges the budget, which may become negative by one exchange. */
    void charge(const std::vector<GroupReport>&);
    void refill(TimePoint now);

    VmId self_;
    OwnerReportSettings settings_;
    std::vector<GroupReportParticipant*> participants_;
    std::map<VmId, Peer> peers_;
    std::map<std::pair<VmId, GroupId>, Received> received_;
    std::uint64_t lastNumber_ = 0;
    double budget_ = 0;
    std::optional<TimePoint> refilledAt_;
};

} // namespace almondlever
