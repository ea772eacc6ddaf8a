#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/pooling/EndpointLink.h"

#include <cstddef>
#include <unordered_map>

namespace almondlever {

/** What a connection does with a reply. */
enum class ReplyMatch {
    /** Answers the oldest unanswered command. */
    Answer,
    /**
     * Equals an earlier reply and is taken for the answer to the oldest command. Whether a transaction is open is known
     * only once a later command has been answered.
     */
    LikelyAnswer,
    /** Repeats an earlier reply, or answers a command for which a repetition was taken before; ignored. */
    Repetition,
    /** Equals an earlier reply; it must not be taken for the answer before that is proven. */
    Uncertain,
    /** Belongs to no command that is known; the connection cannot be used any more. */
    Mismatch,
};

/** "answer", "likely_answer", "repetition", "uncertain" or "mismatch". */
const char* toText(ReplyMatch);

/** A command without an answer. */
struct UnansweredCommand {
    EndpointCommand::Kind kind = EndpointCommand::Kind::Forward;
    bool endsTransaction = false;
};

/**
 * Decides which replies of one connection answer which commands. Replies carry no id, and an endpoint may send a reply
 * again later. What tells replies apart: an endpoint signs each run of a statement once, does not sign its answers to
 * the proxy's own commands, and reports the state of the transaction, which follows from the commands.
 *
 * Reads no clock and does no input or output.
 */
class ReplyMatcher {
public:
    /** Time for which replies are remembered; a repetition that comes later is not recognised as one. */
    static constexpr std::chrono::seconds memoryTime { 30 };

    /** Records the reply that opened the connection. */
    void noteOpened(const Reply&, TimePoint now);
    /** Judges a reply. oldest is the oldest unanswered command, nullptr if all are answered. */
    ReplyMatch match(const UnansweredCommand* oldest, const Reply&, TimePoint now);
    /** Takes a reply that was Uncertain for the answer to its command. */
    void accept(const Reply&, TimePoint now);

    /** True if the reply can only answer a Begin or BeginReadOnly. */
    static bool answersBegin(const Reply&);
    /** True if the reply can answer a Rollback. */
    static bool answersRollback(const Reply&);
    /** True for the success of a statement. */
    static bool isSigned(const Reply&);

private:
    /** Judges an error that equals an earlier reply. */
    ReplyMatch judgeRepeatedRefusal(const UnansweredCommand&, const Reply&) const;
    void remember(std::size_t hash, TimePoint now);
    bool hasSeen(std::size_t hash, TimePoint now) const;
    void forgetOld(TimePoint now);
    bool isStateAfterStatement(const UnansweredCommand&, TransactionState) const;
    bool fits(const UnansweredCommand&, const Reply&) const;

    /** Hashes of replies, and of their signatures, with the time at which they came last. */
    std::unordered_map<std::size_t, TimePoint> seen_;
    TimePoint forgottenAt_ {};
    /** State of the connection's transaction after the last answer. */
    TransactionState state_ = TransactionState::None;
};

} // namespace almondlever
