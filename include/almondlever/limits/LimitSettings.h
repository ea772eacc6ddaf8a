#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/**
 * Limits on what callers may make this process hold. limitSettingsFor() derives the shares from the memory and the
 * descriptors of the VM.
 *
 * @see CallerLimits
 */
struct LimitSettings {
    /** Descriptors for callers' connections; 1 to the limit of the process. */
    std::size_t callerDescriptors = 3500;

    /** Bytes reserved by statements above smallMessageBytes and up to mediumMessageBytes; at least one reservation. */
    std::size_t mediumStatementBytes = std::size_t { 16 } * 1024 * 1024;
    /** Bytes reserved by statements above mediumMessageBytes; at least one reservation. */
    std::size_t largeStatementBytes = std::size_t { 64 } * 1024 * 1024;
    /** Bytes of the values and prepared statements of all sessions; at least one full session. */
    std::size_t sessionStateBytes = std::size_t { 64 } * 1024 * 1024;
    /** Bytes of responses that callers have not read yet; at least 1 MiB. */
    std::size_t unreadResponseBytes = std::size_t { 64 } * 1024 * 1024;
    /** Bytes of incomplete responses that endpoints are sending; at least 1 MiB. */
    std::size_t transitBytes = std::size_t { 32 } * 1024 * 1024;

    /** An incomplete message up to this size needs no reservation; 1 KiB to 64 KiB. */
    std::size_t smallMessageBytes = std::size_t { 8 } * 1024;
    /** Size above which a message reserves the memory of the largest one; 8 KiB to 1 MiB. */
    std::size_t mediumMessageBytes = std::size_t { 64 } * 1024;
    /**
     * Memory that a statement occupies between its arrival and its answer, as a multiple of the size of its message;
     * 1 to 8. It exists as a received message, as a statement and as a request of the dispatcher.
     */
    std::size_t statementCopies = 3;
    /** Session state that is always admitted, per session, so that a flood does not affect small sessions; in bytes. */
    std::size_t freeSessionStateBytes = std::size_t { 8 } * 1024;
    /** Memory that one session value or prepared statement needs besides its texts; in bytes. */
    std::size_t stateEntryBytes = 160;
    /** Share of sessionStateBytes that the sessions of one database may use; above 0 to 1. */
    double stateShareOfDatabase = 0.75;

    /** Statements of one connection that are neither running nor answered before reading pauses; 1 to 64. */
    std::size_t pipelinedStatements = 16;
    /** Size of the unanswered statements of one connection above which reading pauses; 1 KiB to 1 MiB. */
    std::size_t pipelinedBytes = std::size_t { 8 } * 1024;
    /** Unread response bytes of one connection above which its next statement is not handled; 1 KiB to 1 MiB. */
    std::size_t unreadBytesOfConnection = std::size_t { 16 } * 1024;

    /** Time for a complete STARTUP after the connection was accepted; 1 s to 60 s. Callers expect READY after 2 s. */
    Milliseconds startupTimeout { 5000 };
    /** Period in which an incomplete message or an unread response must make progress; 2 s to 120 s. */
    Milliseconds progressPeriod { 10000 };
    /** Bytes that count as progress in a period; 1 to 64 KiB. Far below what a legitimate slow link transfers. */
    std::size_t progressBytes = 512;
    /** Like progressPeriod, for the holder of a reservation while other statements wait for one; 0.5 s to 60 s. */
    Milliseconds contendedPeriod { 2000 };
    /** Like progressBytes, for contendedPeriod; 1 B to 1 MiB. A link of 0.1 Mbit/s transfers this in the period. */
    std::size_t contendedBytes = std::size_t { 16 } * 1024;
    /** Longest wait of a statement for its reservation; 1 s to 60 s. */
    Milliseconds reservationTimeout { 10000 };
    /** A session idle for a shorter time is not closed to make room for a new connection; 0 s to 1 h. */
    Milliseconds shortestEvictedIdle { 5000 };
    /**
     * Like shortestEvictedIdle, for a session in a transaction; 0 s to 1 h. The configuration's idle limit has rolled
     * the transaction back by then, but the session still has to learn it.
     */
    Milliseconds shortestEvictedTransaction { 15000 };
    /** Limit of log lines about closed and rejected callers per second; 0.1 to 1000. */
    double logLinesPerSecond = 5;
};

/** Derives the limits from the memory in bytes (0: unknown) and the descriptors of the VM. */
LimitSettings limitSettingsFor(std::size_t memoryBytes, std::size_t descriptors);

/** Describes the first setting outside its range; empty if there is none. */
const char* firstInvalidLimit(const LimitSettings&);

} // namespace almondlever
