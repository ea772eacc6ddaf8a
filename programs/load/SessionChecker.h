#pragma once

#include "HistoryChecker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almondlever::load {

/**
 * Follows one session through its operations in order and reports what it reads that is older than what it has seen.
 *
 * A read that carried the session's token must show everything seen since the token was last lost. What was seen before
 * that binds only as far as it is the session's own acknowledged write, and only for callers whose rules promise that.
 */
class SessionChecker {
public:
    using Report = std::function<void(ViolationKind, std::string detail, std::vector<std::uint64_t> operations)>;

    SessionChecker(const WriteIndex&, Report);

    /** Takes the session's next operation. */
    void follow(const Operation&);

private:
    using KeyName = std::pair<std::string, std::string>;

    /** A write that the session must not read behind, and how it knows of it. */
    struct SeenWrite {
        const WriteRecord* write;
        bool isOwn;
        /** True while the session's token carries it; false after the session lost its token. */
        bool isCarried;
        /** True when only another write of the same transaction was seen. */
        bool isImplied;
    };

    void forgetToken();
    void followRead(const Operation&);
    void followReadInTransaction(const Operation&);
    void compare(const Operation&, const WriteRecord* found, const SeenWrite&);
    void see(const WriteRecord&, bool isOwn);
    void addSeen(const SeenWrite&);

    const WriteIndex& writes_;
    Report report_;
    std::map<KeyName, std::vector<SeenWrite>> seen_;
    std::map<std::string, LogPosition> positions_;
    /** Last acknowledged write of each (transaction, key). */
    std::map<KeyName, const Operation*> ownInTransaction_;
};

} // namespace almondlever::load
