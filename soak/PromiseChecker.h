#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"
#include "almondlever/sessions/Routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondlever::soak {

/** One commit in the log of an endpoint; each write of a caller carries a token of its own. */
struct LogEntry {
    LogPosition position;
    std::vector<std::string> tokens;
};

/** What a caller prepared under a name. */
struct PreparedShape {
    bool isWrite = false;
    std::string text;

    friend bool operator==(const PreparedShape& a, const PreparedShape& b)
    {
        return a.isWrite == b.isWrite && a.text == b.text;
    }
};

/** A read, a write or a commit as a caller sent it. */
struct SentStatement {
    /** Differs for each session of a caller: it sees its own commits, not those of its former sessions. */
    std::string session;
    GroupId group;
    ReadRule rule = ReadRule::Primary;
    Duration maximumStaleness { 0 };
    /** When the caller sent its first byte, or that of its transaction. */
    TimePoint since;
    /** What an endpoint must run, byte for byte; of a prepared statement only what follows its name. */
    std::string text;
    /** What the name of a prepared statement stands for. */
    std::optional<PreparedShape> prepared;
    bool isRead = false;
    std::map<std::string, std::string> values;
    /** Number of the caller's transaction; 0 outside. */
    std::uint64_t transaction = 0;
};

/** The same statement as an endpoint ran it. */
struct RunStatement {
    EndpointId endpoint;
    std::uint64_t connection = 0;
    std::string text;
    std::optional<PreparedShape> prepared;
    std::map<std::string, std::string> values;
    /** Number of the endpoint's transaction; 0 outside. */
    std::uint64_t transaction = 0;
    /** The endpoint's log, and how much of it the statement saw. */
    const std::vector<LogEntry>* log = nullptr;
    std::size_t visible = 0;
    std::string signature;
    std::vector<std::string> rows;
};

/** How one attempt of a caller ended. */
enum class AttemptOutcome {
    Success,
    /** The answer promised that nothing is kept. */
    NothingKept,
    InDoubt,
};

/**
 * Checks the promises to callers from what callers and endpoints saw. Fed in the order of events; each broken promise
 * becomes one line. Does no input or output.
 */
class PromiseChecker {
public:
    void noteSent(const std::string& id, const SentStatement&);
    void noteRun(const std::string& id, const RunStatement&);
    /** The name in a statement, which its caller had prepared, was unknown. */
    void noteUnknownName(const std::string& id);
    /** A message that reached a caller while it waited for none, or for another kind of message. */
    void noteUnsolicited(const std::string& session, const std::string& message);
    /** A success that reached the caller. */
    void noteSuccess(const std::string& id, const std::string& signature, const std::vector<std::string>& rows);
    /** The caller has asked for the effect of these writes. */
    void noteCommitAsked(const std::vector<std::string>& tokens);
    /** A leading endpoint put a commit into its log. */
    void noteCommitted(const GroupId&, std::size_t index, const std::vector<std::string>& tokens, Term term = 1);
    /** A commit is in the logs that its acknowledgement asks for, also if its caller never hears of it. */
    void noteAcknowledged(const GroupId&, const EndpointId&, const std::vector<std::string>& tokens);
    void noteAttempt(const std::string& session, const GroupId&, const std::vector<std::string>& tokens, AttemptOutcome,
        TimePoint now);
    /** True if each commit that endpoints acknowledged is in one of these logs at least. */
    bool coversAcknowledged(const GroupId&, const std::vector<const std::vector<LogEntry>*>& logs) const;
    /** The log of an endpoint that was promoted, or that leads at the end. */
    void checkLog(const GroupId&, const std::string& occasion, const std::vector<LogEntry>&);

    /**
     * The log with which an endpoint begins to lead. Every commit whose acknowledgement a caller has received, or
     * receives later, must be in it; each one that is missing becomes one line "LOST".
     */
    void checkPromotion(const GroupId&, const std::string& promotion, const std::vector<LogEntry>&, TimePoint effectAt);
    /** Commits that endpoints acknowledged and promotions rolled back before any caller heard of it. */
    std::size_t rolledBackUnheard() const;

    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t acknowledged() const { return acknowledgedTokens_; }
    std::size_t runs() const { return runs_; }

private:
    struct Acknowledged {
        TimePoint at;
        std::string session;
        std::string token;
        std::size_t index = 0;
    };
    struct RollBack {
        std::string promotion;
        TimePoint at;
        bool isReported = false;
    };
    struct Run {
        std::string signature;
        std::vector<std::string> rows;
    };

    /** Where the statements of a caller's transaction run. */
    struct Place {
        std::uint64_t transaction = 0;
        std::string firstStatement;
        /** No other statement of it has run yet. */
        bool isFirstOnly = true;
    };

    void report(const std::string& promise, const std::string& detail);
    /** Reports writes that are kept twice, or although their callers were told otherwise; returns all writes kept. */
    std::set<std::string> checkContents(const std::string& occasion, const std::vector<LogEntry>&);
    void reportLost(const GroupId&, const std::string& token, RollBack&, TimePoint heardAt);
    void checkText(const std::string& id, const SentStatement&, const RunStatement&);
    void checkPinned(const std::string& id, const SentStatement&, const RunStatement&);
    void checkFresh(const std::string& id, const SentStatement&, const RunStatement&);

    std::map<std::string, SentStatement> sent_;
    std::map<std::string, std::vector<Run>> runsOf_;
    std::map<GroupId, std::vector<Acknowledged>> acknowledged_;
    /** Writes whose commits endpoints acknowledged, and which endpoint did; without those found lost. */
    std::map<GroupId, std::map<std::string, EndpointId>> held_;
    std::map<std::string, std::size_t> indexOf_;
    /** Term and index of each write, also of those that were not acknowledged. */
    std::map<GroupId, std::map<std::string, LogPosition>> committed_;
    /** Writes that the log of the newest promotion, or that of a former one, lacked. */
    std::map<std::string, RollBack> rolledBack_;
    std::map<std::string, TimePoint> heardAt_;
    std::set<std::string> asked_;
    std::set<std::string> promisedAway_;
    /** Owner of each transaction of an endpoint, and place of each transaction of a caller. */
    std::map<std::uint64_t, std::string> owners_;
    std::map<std::uint64_t, Place> places_;
    std::vector<std::string> violations_;
    std::size_t acknowledgedTokens_ = 0;
    std::size_t runs_ = 0;
};

} // namespace almondlever::soak
