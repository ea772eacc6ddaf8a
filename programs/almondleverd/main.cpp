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
    const std::string logFault = almondlever::configureLog(result.settings.log);
    if (!logFault.empty()) {
        std::cerr << logFault << '\n';
        return 2;
    }
    almondlever::Daemon daemon(result.settings);
    const std::string fault = daemon.start();
    if (!fault.empty()) {
        std::cerr << fault << '\n';
        return 1;
    }
    const int status = daemon.run();
    almondlever::flushLog();
    return status;
}
