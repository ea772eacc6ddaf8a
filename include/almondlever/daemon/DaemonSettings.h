#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/transport/HttpMessage.h"

#include <string>
#include <vector>

namespace almondlever {

/** Settings of almondleverd, from flags and environment variables. */
struct DaemonSettings {
    VmId vm;
    FailureDomainId failureDomain;
    /** Address to which callers connect; port 0 picks a free port. */
    std::string listenHost = "127.0.0.1";
    std::uint16_t listenPort = 8080;
    /** Address that the daemon listens on for other daemons, and the address that it advertises to them. */
    std::string peerListen;
    std::string peerAdvertise;
    HttpAddress keyValueAddress;
    HttpAddress vmListAddress;
    /** Daemons to contact at startup, so that a daemon can start during an outage of the platform. */
    std::vector<LiveDaemon> seeds;
    std::string clusterKey;
    LogSettings log;
    /** Maximum log lines per second for decisions below the most urgent rank. */
    double decisionLinesPerSecond = 500;
    /** Time after which a client connection that is idle or has not completed its request is closed. */
    Milliseconds clientReadTimeout { 60000 };
    std::size_t maximumConnections = 20000;
    /** Time between becoming unready and handing over work, so that the load balancer stops sending requests first. */
    Milliseconds drainDelay { 1000 };
    /** Maximum time that a shutdown waits for work in progress, after drainDelay. */
    Milliseconds drainLimit { 15000 };
    Milliseconds transactionIdleLimit { 5000 };
};

/** Settings with the findings about them, or a request to exit (after --help or --version). */
struct DaemonSettingsResult {
    DaemonSettings settings;
    Findings findings;
    /** True when the program should exit with exitStatus without starting. */
    bool shouldExit = false;
    int exitStatus = 0;
};

/** Reads flags and environment variables; flags take precedence. Invalid values are all reported together. */
DaemonSettingsResult readDaemonSettings(int argc, const char* const* argv);

} // namespace almondlever
