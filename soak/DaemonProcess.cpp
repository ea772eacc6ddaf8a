#include "DaemonProcess.h"

#include <array>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
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

    constexpr int fieldsBeforeInode = 7;
    constexpr int hexadecimal = 16;

    /** The inode of the socket at a local port, see proc(5); "0" if no process has it, "" if there is none. */
    std::string findInode(std::uint16_t port)
    {
        std::ifstream table("/proc/net/tcp");
        for (std::string line; std::getline(table, line);) {
            std::istringstream fields(line);
            std::string field;
            std::string local;
            fields >> field >> local;
            const std::size_t colon = local.rfind(':');
            if (colon == std::string::npos || std::stoul(local.substr(colon + 1), nullptr, hexadecimal) != port)
                continue;
            for (int skipped = 0; skipped < fieldsBeforeInode; ++skipped)
                fields >> field;
            fields >> field;
            return field;
        }
        return {};
    }

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

bool DaemonProcess::hasConnectionFrom(std::uint16_t port) const
{
    const std::string name = "socket:[" + findInode(port) + ']';
    // The process may end while its files are listed.
    std::error_code error;
    std::filesystem::directory_iterator file("/proc/" + std::to_string(process_) + "/fd", error);
    for (; !error && file != std::filesystem::directory_iterator(); file.increment(error)) {
        std::error_code ignored;
        if (std::filesystem::read_symlink(file->path(), ignored) == name)
            return true;
    }
    return false;
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
