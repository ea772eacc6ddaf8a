#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"
#include "almondlever/customers/CustomerRegistry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

namespace almondlever {

/** Identifies a group of endpoints that replicate one log. */
using GroupId = Identifier<struct GroupIdTag>;

/** Consistency of the reads of a route. */
enum class ReadRule {
    /** Every acknowledged commit is visible. */
    Primary,
    /** Every commit is visible that was acknowledged longer ago than the maximum staleness. */
    BoundedStaleness,
    /** Like BoundedStaleness, but every commit of the same session is also visible. */
    ReadYourWrites,
};

/** The group and the rules that apply to the statements of one database. */
struct Route {
    DatabaseId database;
    GroupId group;
    ReadRule readRule = ReadRule::Primary;
    /** Time-out of one statement. */
    Milliseconds statementTimeout { 0 };
    /** Time within which a whole operation should complete to be of full value to its caller. */
    Milliseconds targetLatency { 0 };
    /** Maximum age of the state that a read may see; unused with ReadRule::Primary. */
    Milliseconds maximumStaleness { 0 };
    /** Priority; 0 is the most urgent. */
    std::size_t rank = 0;
    /** Callers need no API key. */
    bool isPublic = false;
};

/** Connection limit and replication settings of one group. */
struct GroupRule {
    GroupId id;
    /** Maximum number of connections that one endpoint accepts from all clients together. */
    std::size_t maximumConnections = 0;
    /** Number of replicas that must receive a commit before it is acknowledged. */
    std::size_t synchronousReplicas = 0;
};

/** One version of the operator's routes and groups. */
struct RoutingConfiguration {
    std::uint64_t version = 0;
    std::unordered_map<DatabaseId, Route> routes;
    std::map<GroupId, GroupRule> groups;
    /** The customers whose API keys are accepted; nullptr if callers need no key. */
    std::shared_ptr<const CustomerRegistry> customers;
    /** A transaction whose caller sends nothing for longer is rolled back. */
    Milliseconds transactionIdleLimit { 0 };
    /** Maximum size of a statement; 0 means no limit. */
    std::size_t maximumStatementBytes = 0;
};

} // namespace almondlever
