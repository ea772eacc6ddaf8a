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
    /** Where callers connect; port 0 picks a free one. */
    std::string listenHost = "127.0.0.1";
    std::uint16_t listenPort = 8080;
    /** Where other daemons connect, and the address that is told to them. */
    std::string peerListen;
    std::string peerAdvertise;
    HttpAddress keyValueAddress;
    HttpAddress vmListAddress;
    /** Daemons contacted at the start, so that a daemon can start during an outage of the platform. */
    std::vector<LiveDaemon> seeds;
    std::string clusterKey;
    LogSettings log;
    /** Log lines a second for decisions below the most urgent rank. */
    double decisionLinesPerSecond = 500;
    /** Time after which a client that idles or does not finish its request is dropped. */
    Milliseconds clientReadTimeout { 60000 };
    std::size_t maximumConnections = 20000;
    /** Time between readiness going off and the first refusal, for the load balancer to notice. */
    Milliseconds drainDelay { 1000 };
    /** Longest time that a shutdown waits for work in hand. */
    Milliseconds drainLimit { 15000 };
    Milliseconds transactionIdleLimit { 5000 };
};

/** What reading the settings gave: settings, findings, or a text to print before ending (help, version). */
struct DaemonSettingsResult {
    DaemonSettings settings;
    Findings findings;
    /** Set when the program should end with this status without starting. */
    bool shouldExit = false;
    int exitStatus = 0;
};

/** Reads flags and environment variables; a flag wins. All findings are reported together. */
DaemonSettingsResult readDaemonSettings(int argc, const char* const* argv);

} // namespace almondlever
