#pragma once

#include "almondlever/daemon/DaemonSettings.h"

#include <memory>
#include <string>

namespace almondlever {

/**
 * The almondleverd process: a traffic thread, which is the thread that calls run(), and a control thread.
 *
 * @see docs/design.md section 3.1
 */
class Daemon {
public:
    explicit Daemon(const DaemonSettings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Binds the addresses and starts the control thread; returns an error message, or "" on success. */
    std::string start();
    /** Serves until SIGTERM or SIGINT, drains the work in progress for at most drainLimit, returns the exit status. */
    int run();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondlever
