#include "almondlever/observability/DecisionLog.h"

#include <algorithm>
#include <chrono>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/exception.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace almondlever {

namespace {

    const log4cxx::LoggerPtr& processLogger()
    {
        static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("almondlever");
        return logger;
    }

    const log4cxx::LoggerPtr& decisionLogger()
    {
        static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("almondlever.decision");
        return logger;
    }

    bool needsQuotes(std::string_view text)
    {
        return text.empty() || std::any_of(text.begin(), text.end(), [](unsigned char c) {
            return c <= ' ' || c == '"' || c == '=' || c >= 0x7f;
        });
    }

    /** Maximum size of a value in a line; the rest is left out. */
    constexpr std::size_t maximumValueBytes = 512;

    void appendValue(std::string& line, std::string_view value)
    {
        value = value.substr(0, maximumValueBytes);
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (const char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\')
                line += '\\';
            line += byte < ' ' ? ' ' : c;
        }
        line += '"';
    }

    std::string format(std::string_view event, std::initializer_list<LogField> fields)
    {
        std::string line;
        line.reserve(192);
        line += "event=";
        appendValue(line, event);
        for (const LogField& field : fields) {
            line += ' ';
            line += field.first;
            line += '=';
            appendValue(line, field.second);
        }
        return line;
    }

    log4cxx::LevelPtr levelFromText(const std::string& text)
    {
        if (text == "debug")
            return log4cxx::Level::getDebug();
        if (text == "info")
            return log4cxx::Level::getInfo();
        if (text == "warn")
            return log4cxx::Level::getWarn();
        if (text == "error")
            return log4cxx::Level::getError();
        return nullptr;
    }

    /** Lines buffered for standard output; further lines are dropped, and their number is logged. */
    constexpr int maximumBufferedLines = 4096;

    /** Logs through a buffer, so that a stalled reader of standard output does not block the daemon. */
    log4cxx::AppenderPtr makeNonBlockingAppender(const log4cxx::AppenderPtr& console)
    {
        const auto appender = std::make_shared<log4cxx::AsyncAppender>();
        appender->setBlocking(false);
        appender->setBufferSize(maximumBufferedLines);
        appender->addAppender(console);
        return appender;
    }

} // namespace

std::string configureLog(const LogSettings& settings)
{
    const log4cxx::LevelPtr level = levelFromText(settings.level);
    if (!level)
        return "log level '" + settings.level + "' is unknown; use debug, info, warn or error";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p logger=%c %m%n"));
    log4cxx::AppenderPtr appender;
    try {
        if (settings.file.empty())
            appender = makeNonBlockingAppender(std::make_shared<log4cxx::ConsoleAppender>(layout));
        else
            appender = std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    } catch (const log4cxx::helpers::Exception& error) {
        return "cannot write the log to '" + settings.file + "': " + error.what();
    }
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(level);
    return {};
}

void flushLog() { log4cxx::LogManager::shutdown(); }

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG4CXX_INFO(processLogger(), format(event, fields));
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG4CXX_WARN(processLogger(), format(event, fields));
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG4CXX_ERROR(processLogger(), format(event, fields));
}

DecisionLog::DecisionLog(double linesPerSecond)
    : urgent_ { linesPerSecond * urgentFactor, linesPerSecond * urgentFactor }
    , others_ { linesPerSecond, linesPerSecond }
{
}

bool DecisionLog::admits(std::size_t rank, TimePoint now)
{
    if (!decisionLogger()->isInfoEnabled())
        return false;
    Bucket& bucket = rank == 0 ? urgent_ : others_;
    const std::chrono::duration<double> elapsed = now - bucket.refilledAt;
    if (bucket.refilledAt != TimePoint())
        bucket.tokens = std::min(bucket.rate, bucket.tokens + elapsed.count() * bucket.rate);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        ++suppressed_;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void DecisionLog::write(std::string_view decision, std::initializer_list<LogField> fields)
{
    LOG4CXX_INFO(decisionLogger(), format(decision, fields));
}

std::uint64_t DecisionLog::takeSuppressedCount() { return std::exchange(suppressed_, 0); }

} // namespace almondlever
