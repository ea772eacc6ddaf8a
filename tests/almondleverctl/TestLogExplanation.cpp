#include "almondleverctl/LogExplanation.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <sstream>

using namespace almondlever;

namespace {

/** Explains a request as in the walkthroughs of docs/OPERATIONS.md, on logs recorded in a run of the project's own
 * scenario srv-crash-across on kpa-almond. */
class RequestExplanation {
public:
    RequestExplanation(const std::string& log, const std::string& request)
    {
        Options options;
        options.logs = { std::string(ALMONDLEVER_SOURCE_DIR "/tests/almondleverctl/logs/") + log };
        options.request = request;
        exitCode_ = runExplainLogs(options, { out_, error_ });
        std::istringstream text(out_.str());
        for (std::string line; std::getline(text, line);)
            lines_.push_back(line);
    }

    ExitCode exitCode() const { return exitCode_; }
    const std::vector<std::string>& lines() const { return lines_; }
    /** Index of the first line that contains all words; the number of lines if there is none. */
    std::size_t find(const std::vector<std::string>& words) const
    {
        const auto containsAll = [&](const std::string& line) {
            return std::all_of(words.begin(), words.end(),
                [&line](const std::string& word) { return line.find(word) != std::string::npos; });
        };
        return static_cast<std::size_t>(std::find_if(lines_.begin(), lines_.end(), containsAll) - lines_.begin());
    }
    bool has(const std::vector<std::string>& words) const { return find(words) < lines_.size(); }

private:
    std::ostringstream out_;
    std::ostringstream error_;
    ExitCode exitCode_ = ExitCode::Success;
    std::vector<std::string> lines_;
};

} // namespace

// Guards against a refusal whose cause cannot be found: no promotion while two of three endpoints are down.
Test(LogExplanation, refusalWithoutPrimaryLeadsToThePromotionThatFailed)
{
    const RequestExplanation explanation("refused_without_primary.log", "548a5e1d0fc98c14");
    cr_assert(explanation.exitCode() == ExitCode::Success);
    cr_assert(explanation.has({ "> ", "front-erongo-a-1 refuse", "reason=no_primary", "waited_ms=718" }));
    const std::size_t cause = explanation.find({ "promotion_ended", "outcome=failed", "too few replicas answer" });
    cr_assert_lt(cause, explanation.find({ "> " }));
    cr_assert(explanation.has({ "endpoint_connection_lost endpoint=i-61da23da36", "Connection refused" }));
}

// Guards against a write with unknown outcome whose cause cannot be found: its endpoint closed all connections.
Test(LogExplanation, unknownWriteOutcomeLeadsToTheLostEndpoint)
{
    const RequestExplanation explanation("write_in_doubt.log", "0dc7c3402f45fcde");
    cr_assert(explanation.has({ "> ", "fail endpoint=i-028307d332", "outcome=unknown", "connection lost while" }));
    cr_assert(explanation.has({ "endpoint_connection_lost endpoint=i-028307d332", "closed by the peer" }));
}

// Guards against a time-out whose cause cannot be found: the primary had changed half a second before.
Test(LogExplanation, timeOutLeadsToTheNewPrimary)
{
    const RequestExplanation explanation("statement_timed_out.log", "bb69aaa994dacb9f");
    cr_assert(explanation.has({ "> ", "time_out endpoint=i-e26acbf7fc", "reason=no_answer", "waited_ms=1013" }));
    cr_assert(explanation.has({ "primary_believed endpoint=i-e26acbf7fc", "previous=i-61da23da36" }));
    cr_assert(explanation.has({ "endpoint_entry", "endpoint=i-e26acbf7fc", "says_primary=yes" }));
}

// Guards against an empty result that looks like a request without problems.
Test(LogExplanation, unknownRequestIsRefused)
{
    const RequestExplanation explanation("write_in_doubt.log", "ffff");
    cr_assert(explanation.exitCode() == ExitCode::Refused);
    cr_assert(explanation.lines().empty());
}

// Guards against lines of several daemons out of order, and against quoted values truncated at spaces.
Test(LogExplanation, ordersTheLinesOfSeveralDaemons)
{
    std::istringstream first(
        "time=2026-12-04T06:55:02.000 level=INFO event=refuse request=q1 group=g reason=\"a b\"\n");
    std::istringstream second("time=2026-12-04T06:55:01.000 level=INFO event=forward request=q1 group=g\nnoise\n");
    std::vector<LogLine> lines = readLogLines(first, "one.log");
    const std::vector<LogLine> more = readLogLines(second, "two.log");
    lines.insert(lines.end(), more.begin(), more.end());
    const std::vector<LogLine> path = explainRequest(lines, "q1");
    cr_assert_eq(path.size(), 2U);
    cr_assert_eq(path[0].event, "forward");
    cr_assert_eq(path[0].source, "two.log");
    cr_assert_eq(path[1].fields.at("reason"), "a b");
}
