#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace almondlever {

/** A group of endpoints that replicate one log. */
using GroupId = Identifier<struct GroupIdTag>;

/** How fresh the reads of a route are. */
enum class ReadRule {
    /** Every acknowledged commit is visible. */
    Primary,
    /** Every commit acknowledged before the allowed staleness is visible. */
    BoundedStaleness,
    /** As BoundedStaleness, and every commit of the same session is visible. */
    ReadYourWrites,
};

/** Where the statements of one database name go, and how. */
struct Route {
    DatabaseId database;
    GroupId group;
    ReadRule readRule = ReadRule::Primary;
    /** Longest time for one statement. */
    Milliseconds statementTimeout { 0 };
    /** Time within which a whole operation is worth most to its caller. */
    Milliseconds targetLatency { 0 };
    /** Oldest state that a read may see; unused with ReadRule::Primary. */
    Milliseconds maximumStaleness { 0 };
    /** 0 is the most urgent. */
    std::size_t rank = 0;
};

/** Limits and replication of one group. */
struct GroupRule {
    GroupId id;
    /** Connections that one endpoint accepts from all clients together. */
    std::size_t maximumConnections = 0;
    /** Replicas that have received a commit before it is acknowledged. */
    std::size_t synchronousReplicas = 0;
};

/** The operator's routes and groups, in one version. */
struct RoutingConfiguration {
    std::uint64_t version = 0;
    std::unordered_map<DatabaseId, Route> routes;
    std::map<GroupId, GroupRule> groups;
    /** A transaction that waits longer for its caller is rolled back. */
    Milliseconds transactionIdleLimit { 0 };
    /** Size of the largest statement; 0 when there is no bound. */
    std::size_t maximumStatementBytes = 0;
};

} // namespace almondlever
