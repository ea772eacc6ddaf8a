#pragma once

#include "almondlever/common/Time.h"

#include <string>
#include <string_view>

namespace almondlever::crowds {

/** A caller's connection that blocks; used for ordinary requests beside a flood. */
class LineCaller {
public:
    explicit LineCaller(std::uint16_t port);
    ~LineCaller();
    LineCaller(const LineCaller&) = delete;
    LineCaller& operator=(const LineCaller&) = delete;

    /** Returns false if the connection ends before everything is written. */
    bool write(std::string_view) const;
    /** The next line without its CR LF; empty if the connection ends or the time passes. */
    std::string readLine(Milliseconds limit);
    /** True if the daemon has closed the connection; discards what was received. */
    bool isClosed() const;

private:
    int socket_;
    std::string received_;
};

} // namespace almondlever::crowds
