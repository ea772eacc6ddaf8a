#include "StatusPages.h"

#include "AlmondleverVersion.h"

#include <nlohmann/json.hpp>

namespace almondlever {

using Json = nlohmann::json;

std::string statusPage(const Snapshot* snapshot, bool isReady, const std::vector<EndpointId>& served)
{
    Json page { { "version", buildVersion }, { "ready", isReady } };
    if (!snapshot)
        return page.dump(-1, ' ', false, Json::error_handler_t::replace);
    page["vm"] = snapshot->self.text();
    page["failure_domain"] = snapshot->failureDomain.text();
    page["configuration_version"] = snapshot->configuration ? snapshot->configuration->version : 0;
    page["deployment"] = snapshot->configuration ? snapshot->configuration->deployment : "";
    page["shutting_down"] = snapshot->isShuttingDown;
    page["daemons"] = Json::array();
    for (const LiveDaemon& daemon : snapshot->members.daemons)
        page["daemons"].push_back({ { "vm", daemon.id.text() }, { "failure_domain", daemon.failureDomain.text() },
            { "leaving", daemon.isLeaving } });
    page["serves"] = Json::array();
    for (const EndpointId& endpoint : served)
        page["serves"].push_back(endpoint.text());
    page["primaries"] = Json::object();
    for (const auto& [database, view] : snapshot->primaries)
        page["primaries"][database.text()] = { { "endpoint", view.primary.text() }, { "term", view.term } };
    page["leaving_endpoints"] = Json::array();
    for (const EndpointId& endpoint : snapshot->leavingEndpoints)
        page["leaving_endpoints"].push_back(endpoint.text());
    return page.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string explanationPage(const RouteExplanation& explanation)
{
    Json page { { "accepted", explanation.isAccepted }, { "reason", explanation.reason }, { "rank", explanation.rank },
        { "steps", Json::array() } };
    for (const RouteExplanation::Step& step : explanation.steps) {
        Json entry { { "endpoint", step.endpoint.text() }, { "owner", step.owner.text() },
            { "primary", step.isPrimary } };
        if (step.expectedWait.count() >= 0)
            entry["expected_wait_ms"] = step.expectedWait.count();
        page["steps"].push_back(std::move(entry));
    }
    // The reason may quote bytes of the query that are no UTF-8 text, for which dump() would throw.
    return page.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace almondlever
