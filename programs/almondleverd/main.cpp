#include "almondlever/daemon/Daemon.h"

#include <iostream>

int main(int argc, char** argv)
{
    const almondlever::DaemonSettingsResult result = almondlever::readDaemonSettings(argc, argv);
    if (result.shouldExit)
        return result.exitStatus;
    if (!result.findings.empty()) {
        for (const almondlever::Finding& finding : result.findings)
            std::cerr << almondlever::describe(finding) << '\n';
        return 2;
    }
    const std::string logSetupError = almondlever::configureLog(result.settings.log);
    if (!logSetupError.empty()) {
        std::cerr << logSetupError << '\n';
        return 2;
    }
    almondlever::Daemon daemon(result.settings);
    const std::string startError = daemon.start();
    if (!startError.empty()) {
        std::cerr << startError << '\n';
        return 1;
    }
    const int status = daemon.run();
    almondlever::flushLog();
    return status;
}
