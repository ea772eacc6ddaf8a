// The part of Standin that carries out the actions of the control interface.
#include "Standin.h"

#include <stdexcept>

namespace almondlever::standin {

namespace {

    using Json = nlohmann::json;

    Milliseconds milliseconds(const Json& action) { return Milliseconds(action.at("ms").get<std::int64_t>()); }

} // namespace

Json Standin::act(const Json& action)
{
    const std::string name = action.value("action", "");
    const bool isKnown = actOnNetwork(name, action) || actOnEndpoint(name, action) || actOnPlatform(name, action)
        || actOnVms(name, action);
    if (!isKnown)
        throw std::invalid_argument("unknown action '" + name + "'");
    Json answer { { "done", name } };
    const auto relay = relays_.find(action.value("vm", ""));
    if (name == "add_vm" && relay != relays_.end())
        answer["peer_address"] = relay->second.address.host + ':' + std::to_string(relay->second.address.port);
    return answer;
}

EndpointServer& Standin::endpoint(const Json& action)
{
    const std::string id = action.value("endpoint", "");
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        throw std::invalid_argument("this process runs no endpoint '" + id + "'");
    return *found->second;
}

PlatformServer& Standin::platform()
{
    if (!platform_)
        throw std::invalid_argument("this process runs no platform; start it with --platform");
    return *platform_;
}

bool Standin::actOnNetwork(const std::string& name, const Json& action)
{
    if (name == "latency_factor") {
        network_.setLatencyFactor(action.at("factor"));
        return true;
    }
    const bool isPartition = name == "partition";
    if (!isPartition && name != "heal")
        return false;
    if (action.contains("between")) {
        const std::string first = action["between"].at(0);
        const std::string second = action["between"].at(1);
        for (const std::string& domain : { first, second }) {
            if (!network_.hasFailureDomain(domain) && domain != NetworkModel::platformDomain)
                throw std::invalid_argument("unknown failure domain '" + domain + "'");
        }
        if (isPartition)
            network_.partitionDomains(first, second);
        else
            network_.healDomains(first, second);
    } else if (action.contains("vm")) {
        const std::string vm = action["vm"];
        if (!network_.hasVm(vm))
            throw std::invalid_argument("unknown VM '" + vm + "'");
        if (isPartition)
            network_.isolateVm(vm);
        else
            network_.rejoinVm(vm);
    } else if (action.contains("endpoint")) {
        const std::string id = action["endpoint"];
        if (id.empty())
            throw std::invalid_argument("endpoint is empty");
        if (isPartition)
            network_.isolateEndpoint(id);
        else
            network_.rejoinEndpoint(id);
    } else if (isPartition) {
        throw std::invalid_argument("partition needs between, vm or endpoint");
    } else {
        network_.healAll();
    }
    return true;
}

bool Standin::actOnEndpoint(const std::string& name, const Json& action)
{
    if (name == "pause")
        endpoint(action).pause();
    else if (name == "resume")
        endpoint(action).resume();
    else if (name == "kill")
        endpoint(action).kill();
    else if (name == "lag")
        endpoint(action).setLag(milliseconds(action));
    else if (name == "service_time") {
        ServiceTimeSettings settings;
        settings.mean = decltype(settings.mean)(action.at("ms").get<double>());
        settings.spread = decltype(settings.spread)(action.value("spread_ms", 0.0));
        endpoint(action).setServiceTime(settings);
    } else if (name == "restart") {
        if (const auto restarted = endpoint(action).restart(); !restarted)
            throw std::invalid_argument(restarted.error());
    } else {
        return false;
    }
    return true;
}

bool Standin::actOnPlatform(const std::string& name, const Json& action)
{
    if (name == "kv_outage")
        platform().setOutage(action.at("on"));
    else if (name == "kv_slow")
        platform().setSlowness(milliseconds(action));
    else if (name == "kv_lose_answers")
        platform().loseAnswers(action.at("changes"));
    else if (name == "vm_list_lag")
        platform().vms().setLag(milliseconds(action));
    else
        return false;
    return true;
}

bool Standin::actOnVms(const std::string& name, const Json& action)
{
    if (name == "add_vm") {
        addVm(action);
        return true;
    }
    const bool isChange = name == "leave" || name == "return" || name == "remove_vm";
    if (!isChange)
        return false;
    const VmId id(action.value("vm", ""));
    const TimePoint now = Clock::now();
    const bool isDone = name == "remove_vm"
        ? platform().vms().remove(id, now)
        : platform().vms().setState(id, name == "leave" ? VmState::Leaving : VmState::Live, now);
    if (!isDone)
        throw std::invalid_argument("unknown VM '" + id.text() + "'");
    return true;
}

void Standin::addVm(const Json& action)
{
    VmSettings vm { action.at("vm"), action.at("failure_domain"), action.value("daemon_address", ""),
        action.value("relay_address", "") };
    if (vm.id.empty() || !network_.hasFailureDomain(vm.failureDomain))
        throw std::invalid_argument("name a vm and a known failure_domain");
    if (network_.hasVm(vm.id))
        throw std::invalid_argument("VM '" + vm.id + "' exists or existed; ids are never reused");
    if (options_.runsRelays && !vm.daemonAddress.empty()) {
        if (vm.relayAddress.empty())
            vm.relayAddress = "127.0.0.1:0";
        network_.placeVm(vm.id, vm.failureDomain);
        if (const auto started = startRelay(vm); !started)
            throw std::invalid_argument(started.error());
    }
    network_.placeVm(vm.id, vm.failureDomain);
    config_.vms.push_back(vm);
    // Processes without the platform still need the VM's place for latencies and partitions.
    if (!platform_)
        return;
    platform_->vms().add(
        { VmId(vm.id), VmState::Live, FailureDomainId(vm.failureDomain), peerAddress(vm) }, Clock::now());
}

} // namespace almondlever::standin
