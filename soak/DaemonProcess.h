#pragma once

#include "almondlever/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace almondlever::soak {

/** A real daemon as a child process. */
class DaemonProcess {
public:
    DaemonProcess(std::string program, std::string bootFile, std::string logFile)
        : program_(std::move(program))
        , bootFile_(std::move(bootFile))
        , logFile_(std::move(logFile))
    {
    }
    /** Kills the process if it still runs. */
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    /** Sets another program for the next start only. */
    void setNextProgram(std::string program) { nextProgram_ = std::move(program); }
    /** "" or what went wrong. The output is appended to the log file. */
    std::string start();
    void signal(int number);
    bool isRunning() const { return process_ > 0; }
    /** The status with which it ended, once: an exit code, or 128 and the number of the signal. */
    std::optional<int> takeEnd();
    /** True once it has left its program; the kernel may still be releasing its memory, before takeEnd() reports it. */
    bool hasLeftProgram() const;
    /** True if a TCP connection from this port of the machine is open in the process. */
    bool hasConnectionFrom(std::uint16_t port) const;
    pid_t id() const { return process_; }

private:
    std::string program_;
    std::string nextProgram_;
    std::string bootFile_;
    std::string logFile_;
    pid_t process_ = -1;
};

} // namespace almondlever::soak
