#pragma once

#include "almondlever/endpoints/EndpointMessages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almondlever::test {

struct LogEntry {
    Term term = 0;
    std::uint64_t request = 0;

    friend bool operator==(const LogEntry& a, const LogEntry& b) { return a.term == b.term && a.request == b.request; }
};

/** Implements the terms and the log of docs/ENDPOINT_CONTRACT.md. */
class FakeServer {
public:
    explicit FakeServer(std::string name)
        : name_(std::move(name))
    {
    }

    EndpointStatus status() const;
    EndpointResult<EndpointStatus> raiseTerm(Term, const std::string& proposer);
    EndpointResult<EndpointStatus> promote(Term);
    EndpointResult<EndpointStatus> follow(Term, const EndpointId& primary);
    EndpointResult<EndpointStatus> write(Term, std::uint64_t request);
    /** Replicates the first `length` entries of a primary's log, as the log was when they were sent. */
    void replicate(Term, const EndpointId& primary, const std::vector<LogEntry>& primaryLog, std::size_t length);

    bool contains(LogPosition, std::uint64_t request) const;
    const std::string& name() const { return name_; }
    const std::vector<LogEntry>& log() const { return log_; }
    bool isPrimary() const { return role_ == EndpointRole::Primary; }
    Term promisedTerm() const { return promised_; }
    const EndpointId& following() const { return following_; }

private:
    LogPosition logEnd() const;
    EndpointError refuse(EndpointErrorCode) const;

    std::string name_;
    std::vector<LogEntry> log_;
    Term promised_ = 0;
    std::string proposer_;
    EndpointRole role_ = EndpointRole::Replica;
    EndpointId following_;
};

} // namespace almondlever::test
