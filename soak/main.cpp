#include "SoakRun.h"

#include <iostream>
#include <map>
#include <sys/stat.h>
#include <tclap/CmdLine.h>

namespace {

using namespace almondlever;
using namespace almondlever::soak;

/** One cause may break a rule thousands of times. */
constexpr std::size_t shownOfEachRule = 20;
/** Callers that leave inside of transactions, beside the faults of the wire. */
constexpr double leaveShare = 0.02;

/** One seed; true when nothing was found. */
bool runSeed(SoakSettings settings)
{
    settings.folder += "/seed-" + std::to_string(settings.seed);
    mkdir(settings.folder.c_str(), 0755);
    SoakRun run(settings);
    const SoakResult result = run.run();
    std::map<std::string, std::size_t> counts;
    for (const std::string& line : result.violations) {
        if (++counts[line.substr(0, line.find(':'))] <= shownOfEachRule)
            std::cout << "VIOLATION seed " << settings.seed << ' ' << line << '\n';
    }
    std::string rules;
    for (const auto& [rule, count] : counts)
        rules += (rules.empty() ? " (" : ", ") + rule + ' ' + std::to_string(count);
    std::cout << "soak: seed " << settings.seed << ", " << result.faults << " faults, " << result.promotions
              << " promotions, " << result.attempts << " attempts, " << result.served << " served, " << result.refused
              << " refused, " << result.inDoubt << " in doubt, " << result.acknowledgedWrites
              << " acknowledged writes, " << result.storeCalls << " store calls, " << result.violations.size()
              << " violations" << (rules.empty() ? "" : rules + ')') << ", " << result.connections
              << " connections to endpoints, ";
    if (settings.hasLateCalls)
        std::cout << counts["LOST"] << " LOST, " << result.rolledBackUnheard
                  << " rolled back that no caller heard of, longest gap in writes " << result.longestGap.count()
                  << " ms, summed " << result.summedGaps.count() << " ms, ";
    std::cout << result.repeated << " repeated answers, served share "
              << (result.attempts == 0 ? 0.0
                                       : static_cast<double>(result.served) / static_cast<double>(result.attempts))
              << std::endl;
    return result.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine commandLine("Runs real daemons under random faults and checks what callers and endpoints saw", ' ');
    SoakSettings defaults;
    TCLAP::ValueArg<std::string> program("", "daemon", "program of the daemon", true, "", "PATH");
    TCLAP::ValueArg<std::string> former(
        "", "former", "older build that every second daemon runs until it is restarted", false, "", "PATH");
    TCLAP::ValueArg<std::string> folder("", "folder", "existing folder for settings and logs", true, "", "PATH");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "N");
    TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "number of seeds, one after the other", false, 1, "N");
    TCLAP::ValueArg<std::size_t> daemons("", "daemons", "number of daemons", false, defaults.daemons, "N");
    TCLAP::ValueArg<std::size_t> groups("", "groups", "number of groups", false, defaults.groups, "N");
    TCLAP::ValueArg<std::size_t> servers("", "servers", "number of servers of a group", false, defaults.servers, "N");
    TCLAP::ValueArg<std::size_t> callers("", "callers", "number of callers", false, defaults.callers, "N");
    TCLAP::ValueArg<int> seconds("", "seconds", "time in which faults are injected", false, 15, "S");
    TCLAP::ValueArg<std::size_t> restores(
        "", "store-restores", "times that the store comes back from a copy", false, defaults.storeRestores, "N");
    TCLAP::ValueArg<std::size_t> routes(
        "", "unused-routes", "routes that no caller uses", false, defaults.unusedRoutes, "N");
    TCLAP::SwitchArg groupFaults("", "group-faults",
        "only sequences of faults after which a replica without acknowledged commits could be promoted");
    TCLAP::SwitchArg lateCalls("", "late-calls",
        "only series of faults around calls and orders that are carried out late; counts commits that are lost");
    std::vector<std::string> oddKinds { "none", "blanks", "all" };
    TCLAP::ValuesConstraint<std::string> oddConstraint(oddKinds);
    TCLAP::ValueArg<std::string> oddData(
        "", "odd-data", "what callers and endpoints put into fields", false, oddKinds.front(), &oddConstraint);
    TCLAP::ValueArg<double> repeats(
        "", "repeats", "share of the answers that endpoints with this fault send once more", false, 0, "SHARE");
    TCLAP::ValueArg<double> cuts(
        "", "cuts", "share of the answers that endpoints with this fault cut off", false, 0, "SHARE");
    TCLAP::ValueArg<int> pause("", "caller-pause-ms", "longest time between two operations of a caller", false,
        static_cast<int>(defaults.habits.longestPause.count()), "MS");
    for (TCLAP::Arg* argument :
        std::initializer_list<TCLAP::Arg*> { &program, &former, &folder, &seed, &seeds, &daemons, &groups, &servers,
            &groupFaults, &lateCalls, &callers, &seconds, &restores, &routes, &oddData, &repeats, &cuts, &pause })
        commandLine.add(argument);
    commandLine.parse(argc, argv);
    try {
        bool isClean = true;
        for (std::uint64_t number = 0; number < seeds.getValue(); ++number) {
            SoakSettings settings;
            settings.program = program.getValue();
            settings.formerProgram = former.getValue();
            settings.folder = folder.getValue();
            settings.seed = seed.getValue() + number;
            settings.daemons = daemons.getValue();
            settings.groups = groups.getValue();
            settings.servers = servers.getValue();
            settings.hasGroupFaults = groupFaults.getValue();
            settings.hasLateCalls = lateCalls.getValue();
            settings.callers = callers.getValue();
            settings.faultTime = std::chrono::seconds(seconds.getValue());
            settings.storeRestores = restores.getValue();
            settings.unusedRoutes = routes.getValue();
            settings.habits.oddData = oddData.getValue() == "all" ? OddData::All
                : oddData.getValue() == "blanks"                  ? OddData::Blanks
                                                                  : OddData::None;
            settings.habits.longestPause = Milliseconds(pause.getValue());
            const bool hasWireKind
                = settings.habits.oddData != OddData::None || repeats.getValue() > 0 || cuts.getValue() > 0;
            settings.habits.leaveShare = hasWireKind ? leaveShare : 0;
            settings.repeats = repeats.getValue();
            settings.cuts = cuts.getValue();
            isClean = runSeed(settings) && isClean;
        }
        return isClean ? 0 : 1;
    } catch (const std::exception& exception) {
        std::cerr << "almondlever-soak: " << exception.what() << '\n';
        return 2;
    }
}
