#pragma once

#include "almondlever/daemon/DaemonSettings.h"

#include <memory>
#include <string>

namespace almondlever {

/**
 * A running almondleverd: one traffic thread, which is the one that calls run, and one control thread.
 *
 * @see docs/design.md section 3.1
 */
class Daemon {
public:
    explicit Daemon(const DaemonSettings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Binds the addresses; returns why that is not possible, else "". */
    std::string start();
    /** Serves until SIGTERM or SIGINT and until work in hand is done; returns the exit status. */
    int run();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondlever
