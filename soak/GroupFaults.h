#pragma once

#include "almondlever/common/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondlever::soak {

/** One fault of a plan. Servers are chosen by their state at that time, so that the plan is drawn before the run. */
struct GroupFault {
    enum class Kind {
        /** Replicas receive nothing from their primary. */
        DeafenReplicas,
        /** A replica that receives cannot reach the store; its entry lapses and returns. */
        LapseEntry,
        /** A replica that receives crashes and returns with its log. */
        CrashReplica,
        CrashPrimary,
        /** The primary is unreachable, and returns with its log. */
        DarkenPrimary,
        RestartDaemons,
        /** The store answers nothing useful for a time. */
        HaltStore,
        /** A server returns without its log under its id. */
        RestartEmpty,
        /** A replica is gone for good; a new server takes its place. */
        ReplaceReplica,
        /** A replica announces that it leaves, and is replaced. */
        RetireReplica,
        /** Some daemons do not reach the primary: it is silent, or refuses them. */
        PartPrimary,
        /** The primary reaches none of its replicas. */
        IsolatePrimary,
        /** Calls for a promotion, or orders to servers, get no answer and are carried out late. */
        DelayCalls,
        DelayOrders,
        /** The server that was called receives nothing until it leads. */
        DeafenCalled,
        /** Daemons stand still and go on. */
        SuspendDaemons,
        /** A replica leaves with its entry and returns with its log. */
        LeaveReplica,
        /** A new server joins without a log. */
        JoinReplica,
    };

    Kind kind = Kind::CrashPrimary;
    /** Since the first fault could come. */
    Milliseconds at { 0 };
    /** The fault comes only after the next takeover in its group, by this time. */
    std::optional<Milliseconds> afterTakeover;
    /** The fault comes this long after the next call for a promotion in its group. */
    std::optional<Milliseconds> afterCall;
    std::size_t group = 0;
    Milliseconds duration { 0 };
    /** Number from which a server is chosen, and how many. */
    std::size_t choice = 0;
    std::size_t count = 1;
    /** With afterCall, none stands for the daemon that called. */
    std::vector<std::size_t> daemons;
    /** Daemons are stopped with SIGTERM instead of SIGKILL. */
    bool isGraceful = false;
    /** Connections are refused instead of cut. */
    bool refuses = false;
    /** The halted store still answers reads, or writes. */
    bool answersReads = false;
    bool answersWrites = false;
    /** Leases and entries run out while the store is halted. */
    bool hasLapses = false;

    friend bool operator==(const GroupFault&, const GroupFault&);
};

struct GroupFaultSettings {
    std::uint64_t seed = 1;
    std::size_t groups = 2;
    std::size_t servers = 3;
    std::size_t daemons = 3;
    Milliseconds faultTime { 15000 };
};

/**
 * Draws sequences of faults after which a replica without acknowledged commits could be promoted, several for each
 * group; those of different groups overlap. Sorted by time; equal settings give equal plans.
 */
std::vector<GroupFault> drawGroupFaults(const GroupFaultSettings&);

/**
 * Draws series of faults around calls for a promotion and orders whose outcome is not known, several for each group;
 * series overlap, also those of a group. Sorted by time; equal settings give equal plans.
 */
std::vector<GroupFault> drawLateCalls(const GroupFaultSettings&);

} // namespace almondlever::soak
