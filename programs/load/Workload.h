#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::load {

/** How one caller's sessions behave. Shares lie between 0 and 1. */
struct CallerLoad {
    std::string name;
    std::string rank;
    /** Longest time that an answer is of use to the caller, client latency included. */
    Milliseconds deadline { 1000 };
    /** Floor of the rank as the rules declare it. */
    double floor = 0;
    /** True when the rules promise that a session reads its own writes without a token. */
    bool readsOwnWrites = false;
    std::vector<std::string> databases;
    /** Requests a second outside floods; a transaction counts as one. */
    double rate = 0;
    double reads = 1;
    /** Share of writes with an Idempotency-Key. */
    double keyedWrites = 0;
    /** Share of requests that run as an interactive transaction. */
    double transactions = 0;
    double rolledBack = 0;
    double abandoned = 0;
    /** Share of requests that a session sends through another daemon than its last one. */
    double roams = 0;
    /** Share of requests for which a session has lost its token. */
    double lostTokens = 0;
    /** Share of reads and writes that go to keys shared by all sessions of the caller. */
    double sharedKeys = 0;
    std::size_t privateKeysPerSession = 4;
    std::size_t sharedKeyCount = 20;
    /** Sessions at the start; more are made while all are busy. */
    std::size_t sessions = 10;
    /** Requests in flight at most, which bounds the connections; arrivals above it are counted and not sent. */
    std::size_t maximumInFlight = 200;
    /** Repeats of one request after `not_run` (as the answer says) or `unknown` (reads and keyed writes). */
    std::size_t repeats = 2;
};

/** A span of the run in which the rates stay the same. */
struct Phase {
    std::string name;
    Milliseconds duration { 0 };
    /** Rates that differ from the callers' usual ones. */
    std::map<std::string, double> rates;
    /** Callers that send `flood_factor` times the capacity. */
    std::vector<std::string> floods;
};

/** A timed fault: an action for the stand-in's control interface or a signal to a process. */
struct Fault {
    Milliseconds at { 0 };
    /** JSON object sent to the stand-in; empty for a signal. "primary-of:DATABASE" as endpoint is resolved when sent.
     */
    std::string actionJson;
    /** "SIGKILL", "SIGSTOP", "SIGCONT" or "SIGTERM"; empty for an action. */
    std::string signal;
    std::string process;
    /** Database whose write gap the fault is measured for; empty means all. */
    std::string database;
};

struct Workload {
    std::string deployment;
    std::uint64_t seed = 1;
    std::size_t threads = 1;
    Milliseconds clientLatency { 0 };
    /** Statements a second that all slots together can run. */
    double capacityPerSecond = 0;
    double floodFactor = 10;
    /** Time between the last arrival and reading back, for the last faults to heal. */
    Milliseconds settleTime { 3000 };
    /** Longest time spent on reading back. */
    Milliseconds readBackTime { 30000 };
    /** Endpoints of each database, to match the stand-in's logs and to resolve "primary-of:DATABASE". */
    std::map<std::string, std::vector<std::string>> databases;
    std::vector<CallerLoad> callers;
    std::vector<Phase> phases;
    std::vector<Fault> faults;

    Milliseconds duration() const;
    /** The phase at a moment of the run; the last one after its end. */
    const Phase& phaseAt(Duration sinceStart) const;
    /** Requests a second that a caller sends in a phase. */
    double rateIn(const Phase&, const CallerLoad&) const;
    const CallerLoad* findCaller(const std::string& name) const;
};

/** Reads a workload in YAML; all findings are reported together. */
Result<Workload, Findings> loadWorkload(const std::string& path);
/** As loadWorkload, from a text; the file name is used in findings only. */
Result<Workload, Findings> parseWorkload(const std::string& text, const std::string& file);

} // namespace almondlever::load
