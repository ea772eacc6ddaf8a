#pragma once

#include "StatementSender.h"
#include "Workload.h"

#include <asio.hpp>
#include <string>
#include <utility>
#include <vector>

namespace almondlever::load {

/**
 * Reads every written key back through the daemons at the end of a run, without a session token and for a caller that
 * reads its own writes, so that the answers come from confirmed primaries. Stops when the time is over; what is missing
 * then shows in the count of keys read back.
 */
class FinalReader {
public:
    FinalReader(const Workload&, RunContext&);

    /** Reads the keys of the acknowledged or unknown writes; returns the operations. */
    std::vector<Operation> readBack(const std::vector<Operation>& history);

private:
    using KeyName = std::pair<std::string, std::string>;

    void readNext(std::size_t attemptsLeft);
    void read(const KeyName&, std::size_t attemptsLeft);

    const Workload& workload_;
    RunContext& run_;
    asio::io_context context_;
    StatementSender sender_;
    std::vector<KeyName> keys_;
    std::size_t next_ = 0;
    std::size_t active_ = 0;
    TimePoint end_;
};

} // namespace almondlever::load
