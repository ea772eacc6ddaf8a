#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/control/ConfigurationStore.h"
#include "almondlever/platform/KeyValueService.h"

#include <functional>
#include <memory>
#include <string>

namespace almondlever {

/** An encoded configuration received from the store or from a peer, not yet validated. */
struct ConfigurationCandidate {
    std::uint64_t version = 0;
    /** Canonical encoding. */
    std::string bytes;
};

/**
 * Watches the configuration head, the key that names the newest version, in the key-value service while this daemon is
 * one of the watchers. Any other daemon reads it only while it knows no configuration at all.
 *
 * Runs on the control thread.
 */
class ConfigurationWatcher {
public:
    /** Timeout of a watch. Each watch is one call, so a longer timeout costs the service less. */
    static constexpr Milliseconds watchTimeout { 20000 };
    /** Delay before the next call when one failed or found no configuration. */
    static constexpr Milliseconds failureRetryDelay { 500 };
    /** How long a starting daemon waits for a configuration from its peers before it reads the service itself. */
    static constexpr Milliseconds peerConfigurationTimeout { 1000 };

    ConfigurationWatcher(KeyValueService&, TimerService&, std::function<void(ConfigurationCandidate)> onCandidate);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher&) = delete;
    ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

    /** Starts the timeout for a configuration from peers. */
    void start(TimePoint now);
    /** Sets whether this daemon watches on behalf of the others. */
    void setWatching(bool);
    /** Records that a configuration from any source is in force. */
    void setConfigurationKnown();
    /** Reads or watches the head if no call is in progress and the next one is due. */
    void onTick(TimePoint now);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
