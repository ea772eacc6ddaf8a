#include "FakeServer.h"

namespace almondlever::test {

namespace {

    /** Number of entries searched for a known request id; more than any scenario writes between a write and its retry.
     */
    constexpr std::size_t requestMemory = 1000;

} // namespace

EndpointStatus FakeServer::status() const
{
    EndpointStatus status;
    status.endpoint = EndpointId(name_);
    status.role = role_;
    status.promisedTerm = promised_;
    status.logEnd = logEnd();
    status.following = following_;
    return status;
}

EndpointResult<EndpointStatus> FakeServer::raiseTerm(Term term, const std::string& proposer)
{
    if (term < promised_ || (term == promised_ && proposer != proposer_))
        return refuse(EndpointErrorCode::TermRefused);
    if (term > promised_) {
        promised_ = term;
        proposer_ = proposer;
        role_ = EndpointRole::Replica;
        following_ = EndpointId();
    }
    return status();
}

EndpointResult<EndpointStatus> FakeServer::promote(Term term)
{
    if (term != promised_)
        return refuse(EndpointErrorCode::TermRefused);
    if (role_ != EndpointRole::Primary) {
        role_ = EndpointRole::Primary;
        following_ = EndpointId();
        log_.push_back({ term, 0 });
    }
    return status();
}

EndpointResult<EndpointStatus> FakeServer::follow(Term term, const EndpointId& primary)
{
    if (term < promised_ || (term == promised_ && role_ == EndpointRole::Primary))
        return refuse(EndpointErrorCode::TermRefused);
    if (term > promised_)
        proposer_.clear();
    promised_ = term;
    role_ = EndpointRole::Replica;
    following_ = primary;
    return status();
}

EndpointResult<EndpointStatus> FakeServer::write(Term term, std::uint64_t request)
{
    if (role_ != EndpointRole::Primary || term != promised_)
        return refuse(EndpointErrorCode::NotPrimary);
    // A repeated request is not run again; the position of its first run is returned.
    const std::size_t oldest = log_.size() > requestMemory ? log_.size() - requestMemory : 0;
    for (std::size_t place = log_.size(); place > oldest; --place) {
        if (log_[place - 1].request != request)
            continue;
        EndpointStatus known = status();
        known.logEnd = { log_[place - 1].term, place };
        return known;
    }
    log_.push_back({ term, request });
    return status();
}

void FakeServer::replicate(
    Term term, const EndpointId& primary, const std::vector<LogEntry>& primaryLog, std::size_t length)
{
    if (term != promised_ || following_ != primary || role_ == EndpointRole::Primary)
        return;
    // Logs with an equal entry at an index are identical up to it, so the last matching entry ends the common prefix.
    while (!log_.empty() && (log_.size() > primaryLog.size() || !(log_.back() == primaryLog[log_.size() - 1])))
        log_.pop_back();
    for (std::size_t place = log_.size(); place < length; ++place)
        log_.push_back(primaryLog[place]);
}

bool FakeServer::contains(LogPosition position, std::uint64_t request) const
{
    return position.index > 0 && position.index <= log_.size()
        && log_[position.index - 1] == LogEntry { position.term, request };
}

LogPosition FakeServer::logEnd() const
{
    if (log_.empty())
        return {};
    return { log_.back().term, log_.size() };
}

EndpointError FakeServer::refuse(EndpointErrorCode code) const
{
    EndpointError error;
    error.code = code;
    error.outcome = Outcome::NotRun;
    error.term = promised_;
    return error;
}

} // namespace almondlever::test
