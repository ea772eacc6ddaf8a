#pragma once

#include "Operation.h"
#include "Workload.h"
#include "almondlever/transport/HttpClient.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::load {

/** Figures of one database server, from the stand-in's `GET /control/stats`. */
struct EndpointFigures {
    bool isRunning = false;
    bool isPrimary = false;
    Term promisedTerm = 0;
    std::size_t slots = 0;
    std::size_t slotsInUse = 0;
    std::size_t slotsPeak = 0;
    std::size_t connectionsOpen = 0;
    std::size_t connectionsPeak = 0;
    std::size_t connectionsLimit = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t statementsRun = 0;
    std::uint64_t statementsRefusedBusy = 0;
};

using EndpointFiguresByName = std::map<std::string, EndpointFigures>;

/** Reads the answer of `GET /control/stats`; throws nlohmann::json::exception when it has another form. */
EndpointFiguresByName readEndpointFigures(const std::string& json);

/**
 * Client of the control interfaces of one or more stand-in processes. An action goes to all of them, because each keeps
 * its own model of the network; it is done when one has accepted it.
 */
class StandinClient {
public:
    using FiguresCallback = std::function<void(const EndpointFiguresByName&)>;
    /** Gets an empty text, or why the action was not done. */
    using ActionCallback = std::function<void(const std::string& error)>;
    using LogsCallback = std::function<void(std::vector<LogDump>)>;

    StandinClient(asio::io_context&, std::vector<HttpAddress>);

    bool isUsed() const { return !addresses_.empty(); }
    /** Figures of all processes that answer; empty when none does. */
    void getFigures(FiguresCallback);
    /** Sends an action; an endpoint "primary-of:DATABASE" is replaced by the database's current primary. */
    void act(const std::string& actionJson, const Workload&, ActionCallback);
    /** Logs of all running servers that the workload names. */
    void getLogs(const Workload&, LogsCallback);

private:
    void post(const std::string& actionJson, ActionCallback);

    HttpClient client_;
    std::vector<HttpAddress> addresses_;
};

} // namespace almondlever::load
