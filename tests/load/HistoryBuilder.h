#pragma once

#include "load/HistoryChecker.h"

#include <algorithm>
#include <string>

namespace almondlever::load::test {

/** Writes histories by hand: each step takes one millisecond and follows the one before. */
class HistoryBuilder {
public:
    /** The room keeps returned references valid while a test goes on writing. */
    HistoryBuilder() { history.operations.reserve(100); }

    Operation& add(OperationType type, const std::string& session, const std::string& key)
    {
        Operation operation;
        operation.number = ++number_;
        operation.firstAttempt = number_;
        operation.caller = "customs";
        operation.session = session;
        operation.database = "lots";
        operation.type = type;
        operation.key = key;
        operation.sentAt = Microseconds(1000 * static_cast<int>(number_));
        operation.answeredAt = operation.sentAt + Microseconds(900);
        operation.isAcknowledged = true;
        operation.outcome = Outcome::Run;
        operation.status = 200;
        operation.isTokenSent = true;
        operation.readsOwnWrites = true;
        operation.requestId = "request-" + std::to_string(number_);
        history.operations.push_back(operation);
        return history.operations.back();
    }

    Operation& write(const std::string& session, const std::string& key, const std::string& value, LogPosition position)
    {
        Operation& operation = add(OperationType::Write, session, key);
        operation.value = value;
        operation.position = position;
        return operation;
    }

    /** A write without a success; position and request id stay empty when no answer came. */
    Operation& failedWrite(
        const std::string& session, const std::string& key, const std::string& value, Outcome outcome)
    {
        Operation& operation = write(session, key, value, {});
        operation.isAcknowledged = false;
        operation.outcome = outcome;
        operation.status = 503;
        return operation;
    }

    Operation& read(const std::string& session, const std::string& key, const std::string& value, LogPosition position)
    {
        Operation& operation = add(OperationType::Read, session, key);
        if (!value.empty())
            operation.value = value;
        operation.position = position;
        return operation;
    }

    Operation& finalRead(const std::string& key, const std::string& value)
    {
        Operation& operation = read("final-reader", key, value, {});
        operation.type = OperationType::FinalRead;
        operation.isTokenSent = false;
        return operation;
    }

    Operation& inTransaction(OperationType type, const std::string& label, const std::string& key,
        const std::string& value = "", LogPosition position = {})
    {
        Operation& operation = add(type, "clerk", key);
        operation.transaction = label;
        if (!value.empty())
            operation.value = value;
        operation.position = position;
        return operation;
    }

    void log(LogPosition position, const std::string& key, const std::string& requestId)
    {
        if (history.logs.empty())
            history.logs.push_back({ "lots", "lots-khomas", {} });
        history.logs.front().entries.push_back({ position, key, requestId, false });
    }

    CheckResult check() const { return HistoryChecker(history).check(); }

    /** True when at least one violation was found and all are of the kind. */
    bool findsOnly(ViolationKind kind) const
    {
        const auto violations = check().violations;
        return !violations.empty()
            && std::all_of(violations.begin(), violations.end(),
                [kind](const Violation& violation) { return violation.kind == kind; });
    }
    bool isClean() const { return check().violations.empty(); }

    History history;

private:
    std::uint64_t number_ = 0;
};

} // namespace almondlever::load::test
