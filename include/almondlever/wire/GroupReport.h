#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"
#include "almondlever/sessions/Routing.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace almondlever {

/** What one owner observed of one kind of statement at an endpoint within the period of a report. */
struct EndpointReport {
    EndpointId endpoint;
    /** Kind of statement: StatementClass::number(). Receivers ignore numbers that they do not know. */
    std::uint64_t kind = 0;
    std::uint64_t answers = 0;
    Microseconds meanLatency { 0 };
    /** The sender's estimate of the latency without load. Both latencies include its round trip to the endpoint. */
    Microseconds unloadedLatency { 0 };
    /** Lost connections, time-outs and errors of the endpoint itself. */
    std::uint64_t failures = 0;
    /** Statements that the endpoint refused because its queue is full. */
    std::uint64_t refusals = 0;
    /** Statements without an answer when the report was made. */
    std::uint64_t running = 0;
};

/** Time for which statements of a customer occupied slots of a group within the period of a report. */
struct CustomerSlotTime {
    CustomerId customer;
    Milliseconds slotTime { 0 };
};

/**
 * What one owner of a group observed within the last period, for the other owners of the group.
 *
 * A report holds sums over its period, so that each one replaces the sender's former report of the group and a lost
 * one needs no repetition.
 */
struct GroupReport {
    GroupId group;
    /** Increases with each report of the sender for the group. */
    std::uint64_t number = 0;
    Milliseconds period { 0 };
    std::vector<EndpointReport> endpoints;
    std::vector<CustomerSlotTime> customers;
};

/** Limits on the reports of a peer, well above what an owner sends. */
inline constexpr std::size_t maximumReports = 64;
inline constexpr std::size_t maximumReportedKinds = 256;
inline constexpr std::size_t maximumReportedCustomers = 256;

/** Size of the report as a member of a message, in bytes. */
std::size_t encodedSize(const GroupReport&);

} // namespace almondlever
