#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/pooling/EndpointLink.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace almondlever {

/** What a connection does with a reply. */
enum class ReplyMatch {
    /** Answers the oldest unanswered command. */
    Answer,
    /** Repeats an earlier reply, or answers a command for which a repetition was taken before; ignored. */
    Repetition,
    /** Either repeats an earlier reply or answers the oldest unanswered command. */
    Uncertain,
    /** Belongs to no command that is known; the connection cannot be used any more. */
    Mismatch,
};

/** "answer", "repetition", "uncertain" or "mismatch". */
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
    /** True for the success of a statement. */
    static bool isSigned(const Reply&);

private:
    /** Hashes that identify a reply. */
    struct Fingerprint {
        explicit Fingerprint(const Reply&);

        std::size_t content = 0;
        /** nullopt for replies without a signature. */
        std::optional<std::size_t> signature;
    };

    struct Seen {
        TimePoint at;
        Fingerprint reply;
    };

    /** Judges an error in reply to a statement that equals an earlier reply. */
    ReplyMatch judgeRepeatedRefusal(const UnansweredCommand&, const Reply&, TimePoint now);
    void remember(const Fingerprint&, TimePoint now);
    void forgetOldest();
    bool isStateAfterStatement(const UnansweredCommand&, TransactionState) const;
    bool fits(const UnansweredCommand&, const Reply&) const;

    /** Replies that were taken, oldest first. */
    std::deque<Seen> seen_;
    /** How often each content occurs in seen_. */
    std::unordered_map<std::size_t, std::size_t> contents_;
    std::unordered_set<std::size_t> signatures_;
    /** State of the connection's transaction after the last answer. */
    TransactionState state_ = TransactionState::None;
};

} // namespace almondlever
