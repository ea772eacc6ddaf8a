#include "SoakRun.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unistd.h>

namespace almondlever::soak {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds tickInterval { 4 };
    constexpr Milliseconds heartbeat { 600 };
    constexpr Milliseconds settleTime { 300 };
    /** The grace of the settings file and a second for the exit. */
    constexpr Milliseconds stopLimit { 5000 };
    /** Time for the kernel to release a process that has left its program, beside hundreds of others. */
    constexpr Milliseconds releaseLimit { 20000 };
    constexpr int graceSeconds = 4;
    constexpr const char* stoppedBySignal = "stopped: the run was stopped by a signal";
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusConflict = 409;

    /**
     * Ports below the range from which the system draws those of outgoing connections, so that they stay free while
     * their owner is down. Runs at the same time take theirs from different parts.
     */
    constexpr int firstPort = 10000;
    constexpr int portsOfARun = 550;
    constexpr int parts = 40;
    constexpr int startAttempts = 20;

    /** Takes a part of the ports that no other run uses; its first port stays bound for as long as this process lives.
     */
    int takePart()
    {
        static asio::io_context context;
        static asio::ip::tcp::acceptor reserved(context);
        for (int attempt = 0; attempt < parts; ++attempt) {
            const int first = firstPort + (getpid() + attempt) % parts * portsOfARun;
            std::error_code error;
            reserved.open(asio::ip::tcp::v4(), error);
            if (!error)
                reserved.bind({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(first) }, error);
            if (!error)
                return first;
            reserved.close(error);
        }
        throw std::runtime_error("other runs use all ports");
    }

    std::uint16_t findFreePort()
    {
        static const int first = takePart();
        static int next = 0;
        asio::io_context context;
        for (;;) {
            const auto port = static_cast<std::uint16_t>(first + 1 + next++ % (portsOfARun - 1));
            asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
            std::error_code error;
            acceptor.set_option(asio::socket_base::reuse_address(true), error);
            acceptor.bind({ asio::ip::address_v4::loopback(), port }, error);
            if (!error)
                return port;
        }
    }

    std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    const char* toText(ReadRule rule)
    {
        switch (rule) {
        case ReadRule::Primary:
            return "primary";
        case ReadRule::BoundedStaleness:
            return "bounded_staleness";
        default:
            return "read_your_writes";
        }
    }

} // namespace

SoakRun::SoakRun(const SoakSettings& settings)
    : settings_(settings)
    , random_(settings.seed)
    , timer_(context_)
    , signals_(context_, SIGTERM, SIGINT)
    , store_(context_, settings.seed + 1)
    , wireRandom_(settings.seed)
{
}

SoakRun::~SoakRun() = default;

Milliseconds SoakRun::drawTime(int least, int most)
{
    return Milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
}

std::size_t SoakRun::drawIndex(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

void SoakRun::log(const std::string& line)
{
    const auto since = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_);
    std::cout << since.count() << " ms " << line << std::endl;
}

void SoakRun::require(const std::string& fault, const std::string& what)
{
    if (!fault.empty())
        throw std::runtime_error(what + ": " + fault);
}

void SoakRun::startPlatform()
{
    storePort_ = store_.start();
    require(storePort_ == 0 ? "no port" : "", "store");
    promotions_ = makeHttpServer(context_, {}, [this](const auto& exchange) { handlePromotion(exchange); });
    const auto started = promotions_->start();
    require(started ? "" : started.error(), "promotion service");
    promotionPort_ = started.value().port;
    for (std::size_t number = 0; number < settings_.groups; ++number) {
        const std::string name = "ledger" + std::to_string(number);
        groups_.push_back(std::make_unique<StandinGroup>(
            context_, checker_, GroupId(name), settings_.seed * 31 + number, settings_.habits.oddData));
        for (std::size_t server = 0; server < settings_.servers; ++server)
            addEndpoint(*groups_.back(), name + static_cast<char>('a' + server), {});
        groups_.back()->setFirstLeader(EndpointId(name + "a"));
        routes_.push_back({ "orders" + std::to_string(number), GroupId(name), ReadRule::Primary, Milliseconds(0) });
        routes_.push_back(
            { "proofs" + std::to_string(number), GroupId(name), ReadRule::BoundedStaleness, Milliseconds(1500) });
        routes_.push_back(
            { "jobs" + std::to_string(number), GroupId(name), ReadRule::ReadYourWrites, Milliseconds(2500) });
    }
    writeConfiguration();
}

void SoakRun::addEndpoint(StandinGroup& group, const std::string& name, const std::vector<LogEntry>& log)
{
    StandinEndpoint& server = group.add(EndpointId(name));
    server.takeLog(log);
    // Another run may take a port between the search and its use.
    std::string fault = server.start(findFreePort());
    for (int attempt = 1; !fault.empty() && attempt < startAttempts; ++attempt)
        fault = server.start(findFreePort());
    require(fault, name);
    Endpoint endpoint;
    endpoint.group = &group;
    endpoint.id = EndpointId(name);
    endpoint.proxy = std::make_unique<LoopbackProxy>(context_);
    endpoint.proxy->setTarget(server.port());
    require(endpoint.proxy->start(), name);
    endpoint.born = bornNow();
    endpoints_.push_back(std::move(endpoint));
}

std::int64_t SoakRun::bornNow()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
}

void SoakRun::writeConfiguration()
{
    Json routes = Json::array();
    const auto add = [&routes](const SoakRoute& route, std::size_t rank) {
        Json json = { { "database", route.database }, { "service", route.group.text() }, { "type", toText(route.rule) },
            { "timeout-ms", 1000 }, { "target-latency-ms", 500 }, { "priority", rank } };
        if (route.rule != ReadRule::Primary)
            json["max-staleness-ms"] = route.maximumStaleness.count();
        routes.push_back(json);
    };
    for (std::size_t number = 0; number < routes_.size(); ++number)
        add(routes_[number], number % 3);
    for (std::size_t number = 0; number < settings_.unusedRoutes + extraRoutes_; ++number)
        add({ "extra" + std::to_string(number), groups_[0]->id(), ReadRule::Primary, Milliseconds(0) }, 0);
    Json services = Json::array();
    for (const auto& group : groups_)
        services.push_back({ { "name", group->id().text() }, { "max-conns", 60 }, { "sync-replicas", 1 } });
    const Json configuration = { { "version", version_ += 1 + drawIndex(3) }, { "routes", routes },
        { "services", services }, { "limits", { { "tx-idle-ms", 2000 }, { "max-body-bytes", 65536 } } } };
    configuration_ = configuration.dump();
    store_.put("op/config", configuration_);
}

void SoakRun::writeEntry(Endpoint& endpoint)
{
    const StandinEndpoint* server = endpoint.group->find(endpoint.id);
    endpoint.saidPrimary = server && endpoint.group->leads(*server);
    endpoint.isListed = true;
    const Json entry = { { "service", endpoint.group->id().text() }, { "address", loopback(endpoint.proxy->port()) },
        { "zone", "zone-a" }, { "version", "v1" }, { "slots", 6 },
        { "phase", endpoint.isLeaving ? "draining" : "ready" }, { "cold-remaining-ms", 0 },
        { "sequence", ++endpoint.sequence }, { "db-role", endpoint.saidPrimary ? "primary" : "replica" },
        { "born", endpoint.born } };
    store_.put("servers/" + endpoint.id.text(), entry.dump());
}

void SoakRun::handlePromotion(const std::shared_ptr<HttpExchange>& exchange)
{
    const Json body = Json::parse(exchange->body());
    const auto group = body.at("service").get<std::string>();
    const auto id = body.at("id").get<std::string>();
    const std::uint64_t fence = std::stoull(exchange->header("X-Fence-Token"));
    log("promotion of " + id + " asked by " + exchange->header("X-Duty-Holder") + ", fence " + std::to_string(fence));
    if (settings_.hasLateCalls)
        return handleLateCall(
            exchange, indexOf(GroupId(group)), { EndpointId(id), exchange->header("X-Duty-Holder"), fence, {} });
    const bool isLate = std::uniform_real_distribution<double>(0, 1)(random_) < latePromotions_;
    if (isLate) {
        // The call gets no answer and is carried out after newer ones, unless its fence is outdated by then.
        repairs_.push_back({ Clock::now() + drawTime(2000, 6000), [this, group, id, fence] {
                                log("late promotion of " + id + ", fence " + std::to_string(fence));
                                applyPromotion(group, id, fence);
                            } });
        return;
    }
    HttpResponse response;
    response.status = applyPromotion(group, id, fence) ? statusOk : statusConflict;
    response.body = "{}";
    exchange->respond(response);
}

bool SoakRun::applyPromotion(const std::string& group, const std::string& id, std::uint64_t fence)
{
    if (fence < fences_[group])
        return false;
    for (const auto& candidate : groups_) {
        if (candidate->id().text() != group)
            continue;
        const StandinEndpoint* server = candidate->find(EndpointId(id));
        if (!server || !server->isUp() || darkened_.count(server->id()) > 0)
            return false;
        fences_[group] = fence;
        repairs_.push_back({ Clock::now() + drawTime(100, 400), [this, target = candidate.get(), id] {
                                if (target->leader().text() != id && target->promote(EndpointId(id))) {
                                    ++result_.promotions;
                                    log("promoted " + id + " in term " + std::to_string(target->term()));
                                }
                            } });
        return true;
    }
    return false;
}

void SoakRun::startDaemons()
{
    for (std::size_t number = 0; number < settings_.daemons; ++number) {
        auto daemon = std::make_unique<Daemon>(context_);
        daemon->name = "front-" + std::to_string(number + 1);
        daemon->frontPort = findFreePort();
        daemon->front.setTarget(daemon->frontPort);
        daemon->store.setTarget(storePort_);
        require(daemon->front.start(), "proxy");
        require(daemon->store.start(), "proxy");
        const std::uint16_t peerPort = findFreePort();
        const Json boot = { { "node-name", daemon->name }, { "role", "front" }, { "machine-class", "front" },
            { "serves", { "front" } }, { "ip", "127.0.0.1" }, { "zone", "zone-a" }, { "region", "region-a" },
            { "zones", { { "zone-a", "region-a" } } },
            { "listen", { { "front", loopback(daemon->frontPort) }, { "ready-addr", loopback(findFreePort()) } } },
            { "internal-ports", { peerPort, peerPort } }, { "seeds", Json::array() }, { "bootstrap", true },
            { "limits",
                { { "cpu-share", 0.25 }, { "cores", 1 }, { "memory-mb", 260 }, { "max-fds", 4200 },
                    { "link-mbps", 1000.0 }, { "disk-mb", 0 } } },
            { "data-dir", nullptr }, { "discovery", "platform" }, { "entry", "vip" }, { "heartbeat-ms", 600 },
            { "bounds",
                { { "contact-ms", 5000 }, { "drain-ms", 4000 }, { "grace-s", graceSeconds },
                    { "enforce-fencing", true } } },
            { "platform",
                { { "address", loopback(daemon->store.port()) }, { "form", "kv" }, { "writes-per-s", 400 },
                    { "reads-per-s", 2000 }, { "ttl-min-ms", 1000 } } },
            { "cloud",
                { { "address", loopback(promotionPort_) }, { "duties", { "promotion" } }, { "duty-per-s", 50.0 } } } };
        const std::string path = settings_.folder + '/' + daemon->name + ".json";
        std::ofstream(path) << boot.dump(2);
        daemon->process
            = std::make_unique<DaemonProcess>(settings_.program, path, settings_.folder + '/' + daemon->name + ".log");
        if (number % 2 == 1)
            daemon->process->setNextProgram(settings_.formerProgram);
        require(daemon->process->start(), settings_.program);
        daemons_.push_back(std::move(daemon));
    }
}

void SoakRun::startCallers()
{
    for (std::size_t number = 0; number < settings_.callers; ++number) {
        const auto choose = [this](std::mt19937_64& random) {
            std::uniform_int_distribution<std::size_t> draw(0, daemons_.size() - 1);
            return daemons_[draw(random)]->front.port();
        };
        const auto onServed = [this](std::uint16_t daemon, const GroupId& group, bool isWrite) {
            if (isWrite && settings_.hasLateCalls)
                noteWrite(indexOf(group), Clock::now());
            if (isHealed_)
                served_.insert(std::to_string(daemon) + ' ' + group.text());
        };
        callers_.push_back(std::make_shared<SoakCaller>(context_, checker_, counts_, "c" + std::to_string(number),
            routes_[number % routes_.size()], settings_.habits, settings_.seed * 1009 + number, choose, onServed));
        callers_.back()->start();
    }
}

SoakResult SoakRun::run()
{
    startedAt_ = Clock::now();
    // Whoever stops the run must not leave daemons behind.
    signals_.async_wait([this](std::error_code error, int) {
        if (error)
            return;
        result_.violations.emplace_back(stoppedBySignal);
        context_.stop();
    });
    startPlatform();
    tickEndpoints(startedAt_);
    startDaemons();
    faultsUntil_ = startedAt_ + startTime + settings_.faultTime;
    drawRestores();
    if (settings_.hasGroupFaults || settings_.hasLateCalls)
        drawPlan();
    if (settings_.hasLateCalls)
        prepareLateCalls();
    nextFault_ = startedAt_ + startTime;
    nextWireFault_ = nextFault_;
    const TimePoint callersFrom = startedAt_ + startTime / 2;
    std::function<void()> loop = [this, &loop, callersFrom] {
        timer_.expires_after(tickInterval);
        timer_.async_wait([this, &loop, callersFrom](std::error_code error) {
            if (error)
                return;
            if (callers_.empty() && Clock::now() >= callersFrom)
                startCallers();
            tick();
            const bool isOver = Clock::now() >= faultsUntil_ + settings_.recoverTime;
            if (isOver || (isHealed_ && hasRecovered()))
                return context_.stop();
            loop();
        });
    };
    loop();
    context_.run();
    // Nothing can be said of a run that was stopped; the daemons end with their owners.
    if (!result_.violations.empty() && result_.violations.back() == stoppedBySignal)
        return result_;
    for (const auto& daemon : daemons_) {
        for (const auto& group : groups_) {
            if (served_.count(std::to_string(daemon->front.port()) + ' ' + group->id().text()) == 0)
                result_.violations.push_back("recovery: " + daemon->name + " did not serve " + group->id().text()
                    + " within " + std::to_string(settings_.recoverTime.count()) + " ms of the last fault");
        }
    }
    for (const auto& caller : callers_)
        caller->stop();
    for (const auto& group : groups_) {
        const StandinEndpoint* leader = group->find(group->leader());
        if (leader && settings_.hasLateCalls)
            checker_.checkPromotion(group->id(), "at the end", leader->log(), Clock::now());
        else if (leader)
            checker_.checkLog(group->id(), "at the end", leader->log());
        if (!settings_.hasLateCalls)
            continue;
        noteWrite(indexOf(group->id()), faultsUntil_);
        result_.promotions += group->term() - 1;
    }
    result_.rolledBackUnheard = checker_.rolledBackUnheard();
    stopDaemons();
    result_.violations.insert(result_.violations.begin(), checker_.violations().begin(), checker_.violations().end());
    result_.attempts = counts_.attempts;
    result_.served = counts_.served;
    result_.refused = counts_.refused;
    result_.inDoubt = counts_.inDoubt;
    result_.acknowledgedWrites = checker_.acknowledged();
    result_.storeCalls = store_.calls();
    for (const auto& group : groups_) {
        result_.connections += group->accepted();
        result_.repeated += group->repeated();
    }
    return result_;
}

void SoakRun::tick()
{
    const TimePoint now = Clock::now();
    store_.tick(now);
    for (const auto& group : groups_)
        group->tick(now);
    tickEndpoints(now);
    tickDaemons(now);
    std::vector<Repair> due;
    for (auto it = repairs_.begin(); it != repairs_.end();) {
        if (it->at > now) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = repairs_.erase(it);
    }
    for (const Repair& repair : due)
        repair.mend();
    if (now >= faultsUntil_ && !isHealed_)
        healAll();
    if (!restoresAt_.empty() && now >= restoresAt_.front()) {
        restoresAt_.pop_front();
        restoreStore(now);
    }
    const bool hasWireFaults = settings_.repeats > 0 || settings_.cuts > 0;
    if (hasWireFaults && now >= nextWireFault_ && now < faultsUntil_)
        harmWire(now);
    if (settings_.hasGroupFaults || settings_.hasLateCalls) {
        if (now < faultsUntil_)
            tickGroupFaults(now);
    } else if (now >= nextFault_ && now < faultsUntil_) {
        injectFault(now);
        nextFault_ = now + drawTime(1, static_cast<int>(2 * settings_.faultInterval.count()));
    }
}

void SoakRun::tickEndpoints(TimePoint now)
{
    for (Endpoint& endpoint : endpoints_) {
        const StandinEndpoint* server = endpoint.group->find(endpoint.id);
        const bool isUp = server && server->isUp() && now >= endpoint.mutedUntil;
        if (!isUp || (store_.faults().isBusy && entriesLapse_)) {
            if (endpoint.isListed && now - endpoint.silentSince >= entryLife) {
                store_.remove("servers/" + endpoint.id.text());
                endpoint.isListed = false;
            }
            continue;
        }
        const bool isChange = !endpoint.isListed || endpoint.saidPrimary != endpoint.group->leads(*server);
        if (store_.faults().isBusy || (!isChange && now - endpoint.silentSince < heartbeat))
            continue;
        endpoint.silentSince = now;
        writeEntry(endpoint);
    }
}

void SoakRun::tickDaemons(TimePoint now)
{
    for (const auto& daemon : daemons_) {
        if (const auto status = daemon->process->takeEnd()) {
            const bool isMeant = daemon->wasKilled || (daemon->isStopping && *status == 0);
            if (!isMeant)
                result_.violations.push_back("exit: " + daemon->name + " ended with status " + std::to_string(*status));
            log(daemon->name + " ended with status " + std::to_string(*status));
            daemon->wasKilled = false;
            daemon->isStopping = false;
            daemon->isPaused = false;
            if (!daemon->startAt)
                daemon->startAt = now;
        }
        if (!daemon->process->isRunning() && daemon->startAt && now >= *daemon->startAt) {
            daemon->startAt.reset();
            daemon->startedAt = now;
            log("start of " + daemon->name);
            require(daemon->process->start(), settings_.program);
        }
    }
}

std::size_t SoakRun::indexOf(const GroupId& id) const
{
    const auto found
        = std::find_if(groups_.begin(), groups_.end(), [&id](const auto& group) { return group->id() == id; });
    return static_cast<std::size_t>(found - groups_.begin());
}

bool SoakRun::hasRecovered() const { return served_.size() >= daemons_.size() * groups_.size(); }

void SoakRun::stopDaemons()
{
    for (const auto& daemon : daemons_) {
        daemon->process->signal(SIGTERM);
        daemon->isStopping = true;
    }
    context_.restart();
    if (waitForEnds(stopLimit))
        return;
    for (const auto& daemon : daemons_) {
        if (!daemon->process->isRunning())
            continue;
        if (daemon->process->hasLeftProgram())
            log(daemon->name + " has left its program and is not released yet");
        else
            result_.violations.push_back("exit: " + daemon->name + " still runs after its grace");
    }
    waitForEnds(releaseLimit);
    for (const auto& daemon : daemons_) {
        if (daemon->process->isRunning())
            result_.violations.push_back("exit: " + daemon->name + " has not ended");
    }
}

bool SoakRun::waitForEnds(Milliseconds limit)
{
    const TimePoint until = Clock::now() + limit;
    while (Clock::now() < until) {
        context_.run_for(settleTime / 10);
        bool isAnyRunning = false;
        for (const auto& daemon : daemons_) {
            const auto status = daemon->process->takeEnd();
            if (status && *status != 0)
                result_.violations.push_back("exit: " + daemon->name + " ended with status " + std::to_string(*status));
            isAnyRunning = isAnyRunning || daemon->process->isRunning();
        }
        if (!isAnyRunning)
            return true;
    }
    return false;
}

} // namespace almondlever::soak
