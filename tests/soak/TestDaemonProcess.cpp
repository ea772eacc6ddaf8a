#include "soak/DaemonProcess.h"

#include <chrono>
#include <criterion/criterion.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace almondlever;
using namespace almondlever::soak;

namespace {

/** A shell script in a folder of its own. */
class Script {
public:
    explicit Script(const std::string& text)
    {
        std::string name = (std::filesystem::temp_directory_path() / "almondlever-process.XXXXXX").string();
        cr_assert_not_null(mkdtemp(name.data()));
        folder_ = name;
        std::ofstream(path()) << "#!/bin/sh\n" << text << '\n';
        std::filesystem::permissions(path(), std::filesystem::perms::owner_all);
    }
    ~Script() { std::filesystem::remove_all(folder_); }
    Script(const Script&) = delete;
    Script& operator=(const Script&) = delete;

    std::string path() const { return folder_ + "/program"; }
    std::string logFile() const { return folder_ + "/log"; }

private:
    std::string folder_;
};

constexpr std::chrono::seconds waitLimit { 20 };
constexpr Milliseconds pollInterval { 10 };

template <typename Condition> bool waitFor(Condition condition)
{
    const TimePoint until = Clock::now() + waitLimit;
    while (!condition() && Clock::now() < until)
        std::this_thread::sleep_for(pollInterval);
    return condition();
}

} // namespace

// Guards against a daemon that hangs and passes for one that only the kernel has not released yet.
Test(DaemonProcess, runningProgramHasNotLeft)
{
    const Script script("while true; do sleep 1; done");
    DaemonProcess process(script.path(), "", script.logFile());
    cr_assert_eq(process.start(), "");
    std::this_thread::sleep_for(pollInterval * 10);
    cr_assert(!process.hasLeftProgram());
    process.signal(SIGSTOP);
    std::this_thread::sleep_for(pollInterval * 10);
    cr_assert(!process.hasLeftProgram());
}

// Guards against a daemon that has called exit and counts as running until its status is taken.
Test(DaemonProcess, endedProgramHasLeft)
{
    const Script script("exit 3");
    DaemonProcess process(script.path(), "", script.logFile());
    cr_assert_eq(process.start(), "");
    cr_assert(waitFor([&process] { return process.hasLeftProgram(); }));
    cr_assert(process.isRunning());
    std::optional<int> status;
    cr_assert(waitFor([&process, &status] {
        if (!status)
            status = process.takeEnd();
        return status.has_value();
    }));
    cr_assert_eq(*status, 3);
    cr_assert(!process.isRunning());
}
