#include "StandinClient.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace almondlever::load {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds controlTimeout { 2000 };
    /** A log of a long run takes the stand-in some time to write out. */
    constexpr Milliseconds logTimeout { 20000 };
    constexpr unsigned statusOk = 200;
    const std::string primaryPrefix = "primary-of:";

    bool isSuccess(const HttpResult& result) { return result && result.value().status == statusOk; }

    std::string errorOf(const HttpResult& result)
    {
        return result ? std::to_string(result.value().status) + ' ' + result.value().body : result.error().reason;
    }

    std::string findPrimary(const std::vector<std::string>& endpoints, const EndpointFiguresByName& figures)
    {
        std::string primary;
        Term term = 0;
        for (const std::string& endpoint : endpoints) {
            const auto found = figures.find(endpoint);
            if (found != figures.end() && found->second.isRunning && found->second.isPrimary
                && found->second.promisedTerm >= term) {
                primary = endpoint;
                term = found->second.promisedTerm;
            }
        }
        return primary;
    }

    LogDump readLog(const std::string& database, const std::string& endpoint, const std::string& text)
    {
        LogDump log { database, endpoint, {} };
        const Json body = Json::parse(text);
        for (const Json& entry : body.at("entries")) {
            const Json& position = entry.at("position");
            log.entries.push_back({ { position.at(0).get<Term>(), position.at(1).get<std::uint64_t>() },
                entry.at("key"), entry.at("request_id"), entry.at("marker") });
        }
        return log;
    }

} // namespace

EndpointFiguresByName readEndpointFigures(const std::string& json)
{
    EndpointFiguresByName figures;
    const Json body = Json::parse(json);
    for (const auto& [name, stats] : body.at("endpoints").items()) {
        EndpointFigures endpoint;
        endpoint.isRunning = stats.at("running");
        endpoint.isPrimary = stats.at("role") == "primary";
        endpoint.promisedTerm = stats.at("promised_term");
        endpoint.slots = stats.at("slots");
        endpoint.slotsInUse = stats.at("slots_in_use");
        endpoint.slotsPeak = stats.at("slots_peak");
        endpoint.connectionsOpen = stats.at("connections_open");
        endpoint.connectionsPeak = stats.at("connections_peak");
        endpoint.connectionsLimit = stats.at("connections_limit");
        endpoint.connectionsRefused = stats.at("connections_refused");
        endpoint.statementsRun = stats.at("statements_run");
        endpoint.statementsRefusedBusy = stats.at("statements_refused_busy");
        figures[name] = endpoint;
    }
    return figures;
}

StandinClient::StandinClient(asio::io_context& context, std::vector<HttpAddress> addresses)
    : client_(context)
    , addresses_(std::move(addresses))
{
}

void StandinClient::getFigures(FiguresCallback callback)
{
    struct Gathering {
        std::size_t waiting;
        EndpointFiguresByName figures;
        FiguresCallback callback;
    };
    if (!isUsed())
        return callback({});
    const auto gathering = std::make_shared<Gathering>(Gathering { addresses_.size(), {}, std::move(callback) });
    for (const HttpAddress& address : addresses_) {
        client_.request(
            address, { "GET", "/control/stats", {}, "" }, controlTimeout, [gathering](const HttpResult& result) {
                try {
                    if (isSuccess(result))
                        gathering->figures.merge(readEndpointFigures(result.value().body));
                } catch (const Json::exception&) {
                    // A process that answers in another form gives no figures, like one that is down.
                }
                if (--gathering->waiting == 0)
                    gathering->callback(gathering->figures);
            });
    }
}

void StandinClient::act(const std::string& actionJson, const Workload& workload, ActionCallback callback)
{
    if (!isUsed())
        return callback("no control address was given (--control)");
    const Json action = Json::parse(actionJson);
    const std::string endpoint = action.value("endpoint", "");
    if (endpoint.compare(0, primaryPrefix.size(), primaryPrefix) != 0)
        return post(actionJson, std::move(callback));
    const std::string database = endpoint.substr(primaryPrefix.size());
    const auto found = workload.databases.find(database);
    if (found == workload.databases.end())
        return callback("the workload lists no endpoints of database '" + database + "'");
    getFigures([this, action, database, endpoints = found->second, callback](const EndpointFiguresByName& figures) {
        const std::string primary = findPrimary(endpoints, figures);
        if (primary.empty())
            return callback("no running server is primary of '" + database + "'");
        Json resolved = action;
        resolved["endpoint"] = primary;
        post(resolved.dump(), callback);
    });
}

void StandinClient::post(const std::string& actionJson, ActionCallback callback)
{
    struct Gathering {
        std::size_t waiting;
        bool isDone;
        std::string error;
        ActionCallback callback;
    };
    const auto gathering = std::make_shared<Gathering>(Gathering { addresses_.size(), false, "", std::move(callback) });
    for (const HttpAddress& address : addresses_) {
        client_.request(address, { "POST", "/control", { { "Content-Type", "application/json" } }, actionJson },
            controlTimeout, [gathering](const HttpResult& result) {
                if (isSuccess(result))
                    gathering->isDone = true;
                else
                    gathering->error = errorOf(result);
                if (--gathering->waiting == 0)
                    gathering->callback(gathering->isDone ? "" : gathering->error);
            });
    }
}

void StandinClient::getLogs(const Workload& workload, LogsCallback callback)
{
    struct Gathering {
        std::size_t waiting = 0;
        std::vector<LogDump> logs;
        LogsCallback callback;
    };
    const auto gathering = std::make_shared<Gathering>();
    gathering->callback = std::move(callback);
    // One part more than the requests, so that answers cannot end the gathering before all are sent.
    gathering->waiting = 1;
    const auto finishPart = [gathering] {
        if (--gathering->waiting == 0)
            gathering->callback(std::move(gathering->logs));
    };
    for (const auto& [database, endpoints] : workload.databases) {
        for (const std::string& endpoint : endpoints) {
            for (const HttpAddress& address : addresses_) {
                ++gathering->waiting;
                client_.request(address, { "GET", "/control/log?endpoint=" + endpoint, {}, "" }, logTimeout,
                    [gathering, finishPart, database = database, endpoint](const HttpResult& result) {
                        try {
                            if (isSuccess(result))
                                gathering->logs.push_back(readLog(database, endpoint, result.value().body));
                        } catch (const Json::exception&) {
                            // The report counts the logs that were compared; one that cannot be read is missing there.
                        }
                        finishPart();
                    });
            }
        }
    }
    finishPart();
}

} // namespace almondlever::load
