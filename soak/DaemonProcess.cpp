#include "DaemonProcess.h"

#include <array>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace almondlever::soak {

namespace {

    constexpr int signalBase = 128;
    constexpr mode_t logMode = 0644;
    /** PF_EXITING of the field "flags" in /proc/PID/stat, see proc(5). */
    constexpr unsigned long exitingFlag = 0x4;
    /** Fields between the name in parentheses and "flags". */
    constexpr int fieldsBeforeFlags = 6;

} // namespace

DaemonProcess::~DaemonProcess()
{
    if (process_ <= 0)
        return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
}

std::string DaemonProcess::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // An inherited listening socket would take connections after its owner has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string variable = "ALMONDLEVER_BOOT=" + bootFile_;
    std::array<char*, 2> environment { variable.data(), nullptr };
    std::string program = nextProgram_.empty() ? program_ : nextProgram_;
    nextProgram_.clear();
    std::array<char*, 2> arguments { program.data(), nullptr };
    const int error = posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error == 0)
        return {};
    process_ = -1;
    return std::strerror(error);
}

void DaemonProcess::signal(int number)
{
    if (process_ > 0)
        kill(process_, number);
}

std::optional<int> DaemonProcess::takeEnd()
{
    int status = 0;
    if (process_ <= 0 || waitpid(process_, &status, WNOHANG) != process_)
        return std::nullopt;
    process_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
}

bool DaemonProcess::hasLeftProgram() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/stat");
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    const std::size_t name = text.rfind(')');
    if (name == std::string::npos)
        return false;
    std::istringstream fields(text.substr(name + 1));
    std::string ignored;
    for (int field = 0; field < fieldsBeforeFlags; ++field)
        fields >> ignored;
    unsigned long flags = 0;
    fields >> flags;
    return (flags & exitingFlag) != 0;
}

} // namespace almondlever::soak
