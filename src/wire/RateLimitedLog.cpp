#include "RateLimitedLog.h"

#include <log4cxx/logger.h>

namespace almondlever {

namespace {

    constexpr std::chrono::seconds period { 10 };
    constexpr int maximumLinesInPeriod = 20;

} // namespace

void RateLimitedLog::warn(const std::string& text, TimePoint now)
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("almondlever.wire");
    if (now - periodStart_ >= period) {
        periodStart_ = now;
        linesInPeriod_ = 0;
    }
    if (linesInPeriod_ == maximumLinesInPeriod) {
        ++suppressed_;
        return;
    }
    ++linesInPeriod_;
    const std::uint64_t unreported = suppressed_ - suppressedReported_;
    suppressedReported_ = suppressed_;
    LOG4CXX_WARN(logger, text << (unreported == 0 ? "" : " suppressed_lines=" + std::to_string(unreported)));
}

} // namespace almondlever
