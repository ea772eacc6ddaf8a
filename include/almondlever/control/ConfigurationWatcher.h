#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/control/ConfigurationStore.h"
#include "almondlever/platform/KeyValueService.h"

#include <functional>
#include <memory>
#include <string>

namespace almondlever {

/** A configuration as it came from the store or from a peer. */
struct ConfigurationCandidate {
    std::uint64_t version = 0;
    /** Canonical bytes. */
    std::string bytes;
};

/**
 * Follows the configuration head in the key-value service while this daemon is one of the watchers, and reads it once
 * while no configuration is known at all. Other daemons make no calls.
 *
 * Runs on the control thread.
 */
class ConfigurationWatcher {
public:
    /** Time that a waiting watch may take; each is one call, so a longer wait costs the service less. */
    static constexpr Milliseconds watchTime { 20000 };
    /** Pause after a call that failed. */
    static constexpr Milliseconds failurePause { 500 };
    /** Time in which a starting daemon lets its peers tell the configuration before it asks the service itself. */
    static constexpr Milliseconds patienceForPeers { 1000 };

    ConfigurationWatcher(KeyValueService&, TimerService&, std::function<void(ConfigurationCandidate)> onCandidate);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher&) = delete;
    ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

    /** Starts the time in which peers are waited for. */
    void start(TimePoint now);
    /** Sets whether this daemon watches for the others. */
    void setWatching(bool);
    /** Tells that a configuration is in force, from whatever source. */
    void setKnown();
    /** Makes the next call when it is due. */
    void onTick(TimePoint now);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
