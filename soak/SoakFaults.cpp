#include "SoakRun.h"

#include <algorithm>
#include <csignal>

namespace almondlever::soak {

namespace {

    constexpr int longestWireFaultMs = 4000;
    constexpr int longestWireIntervalMs = 1500;

} // namespace

void SoakRun::repairLater(TimePoint at, std::function<void()> mend) { repairs_.push_back({ at, std::move(mend) }); }

void SoakRun::injectFault(TimePoint now)
{
    ++result_.faults;
    switch (drawIndex(8)) {
    case 0:
    case 1:
    case 2:
        return harmDaemon(now);
    case 3:
    case 4:
    case 5:
        return harmEndpoint(now);
    case 6:
        return harmPlatform(now);
    default:
        return replacePrimary(now);
    }
}

void SoakRun::harmDaemon(TimePoint now)
{
    Daemon& daemon = *daemons_[drawIndex(daemons_.size())];
    LoopbackProxy& proxy = drawIndex(2) == 0 ? daemon.front : daemon.store;
    const std::string place = daemon.name + (&proxy == &daemon.front ? " callers" : " store");
    const TimePoint until = now + drawTime(200, 4000);
    switch (drawIndex(9)) {
    case 0:
        log("SIGKILL " + daemon.name);
        daemon.wasKilled = true;
        daemon.startAt = until;
        return daemon.process->signal(SIGKILL);
    case 1:
        if (daemon.isStopping || !daemon.process->isRunning())
            return;
        log("SIGTERM " + daemon.name);
        daemon.isStopping = true;
        daemon.startAt = now + drawTime(0, 5000);
        return daemon.process->signal(SIGTERM);
    case 2:
    case 3:
        if (daemon.isPaused)
            return;
        log("SIGSTOP " + daemon.name);
        daemon.isPaused = true;
        daemon.process->signal(SIGSTOP);
        return repairLater(until, [this, &daemon] {
            log("SIGCONT " + daemon.name);
            daemon.isPaused = false;
            daemon.process->signal(SIGCONT);
        });
    case 4:
        log("SIGHUP " + daemon.name);
        return daemon.process->signal(SIGHUP);
    case 5:
        log("reset " + place);
        return proxy.reset();
    case 6:
        log("delay " + place);
        proxy.faults().delay = drawTime(20, 300);
        return repairLater(until, [&proxy] { proxy.faults().delay = Milliseconds(0); });
    case 7:
        log("cut upwards " + place);
        proxy.faults().isCutUpwards = true;
        return repairLater(until, [&proxy] { proxy.faults().isCutUpwards = false; });
    default:
        log("cut downwards " + place);
        proxy.faults().isCutDownwards = true;
        return repairLater(until, [&proxy] { proxy.faults().isCutDownwards = false; });
    }
}

void SoakRun::harmEndpoint(TimePoint now)
{
    Endpoint& endpoint = endpoints_[drawIndex(endpoints_.size())];
    StandinGroup* group = endpoint.group;
    const EndpointId id = endpoint.id;
    StandinEndpoint* server = group->find(id);
    if (!server)
        return;
    LoopbackProxy* proxy = endpoint.proxy.get();
    const TimePoint until = now + drawTime(200, 4000);
    const std::string name = id.text() + (group->leads(*server) ? " (primary)" : " (replica)");
    // The endpoint may have been replaced until then.
    const auto onServer = [group, id](const std::function<void(StandinEndpoint&)>& change) {
        return [group, id, change] {
            if (StandinEndpoint* present = group->find(id))
                change(*present);
        };
    };
    switch (drawIndex(8)) {
    case 0:
    case 1:
        log("crash " + name);
        server->crash();
        return repairLater(until, onServer([this](StandinEndpoint& present) {
            if (!present.isUp())
                require(present.start(present.port()), present.id().text());
        }));
    case 2:
        log("silence " + name);
        server->faults().isSilent = true;
        return repairLater(until, onServer([](StandinEndpoint& present) { present.faults().isSilent = false; }));
    case 3:
        log("deafness " + name);
        server->faults().isDeaf = true;
        return repairLater(until, onServer([](StandinEndpoint& present) { present.faults().isDeaf = false; }));
    case 4:
        log("lost answers " + name);
        server->faults().lostAnswers = 0.3;
        return repairLater(until, onServer([](StandinEndpoint& present) { present.faults().lostAnswers = 0; }));
    case 5:
        log("lag " + name);
        server->faults().applyLag = drawTime(100, 1500);
        server->faults().extraWork = drawTime(0, 30);
        return repairLater(until, onServer([](StandinEndpoint& present) {
            present.faults().applyLag = Milliseconds(5);
            present.faults().extraWork = Milliseconds(0);
        }));
    case 6:
        log("reset " + name);
        return proxy->reset();
    default:
        log("cut " + name);
        proxy->faults().isCutDownwards = true;
        proxy->faults().isCutUpwards = drawIndex(2) == 0;
        return repairLater(until, [proxy] {
            proxy->faults().isCutDownwards = false;
            proxy->faults().isCutUpwards = false;
        });
    }
}

void SoakRun::harmWire(TimePoint now)
{
    const auto drawUpTo = [this](int most) { return std::uniform_int_distribution<int>(0, most)(wireRandom_); };
    nextWireFault_ = now + Milliseconds(1 + drawUpTo(longestWireIntervalMs));
    const Endpoint& endpoint = endpoints_[static_cast<std::size_t>(drawUpTo(static_cast<int>(endpoints_.size()) - 1))];
    const TimePoint until = now + Milliseconds(longestWireFaultMs / 4 + drawUpTo(longestWireFaultMs));
    const bool isCut = settings_.repeats <= 0 || (settings_.cuts > 0 && drawUpTo(1) == 0);
    StandinEndpoint* server = endpoint.group->find(endpoint.id);
    if (!server)
        return;
    log((isCut ? "cut answers " : "repeated answers ") + endpoint.id.text());
    const auto share = isCut ? &EndpointFaults::cuts : &EndpointFaults::repeats;
    server->faults().*share = isCut ? settings_.cuts : settings_.repeats;
    repairLater(until, [group = endpoint.group, id = endpoint.id, share] {
        if (StandinEndpoint* present = group->find(id))
            present->faults().*share = 0;
    });
}

void SoakRun::harmPlatform(TimePoint now)
{
    const TimePoint until = now + drawTime(500, 4000);
    switch (drawIndex(5)) {
    case 0:
        log("store is away");
        store_.faults().isBusy = true;
        store_.faults().leasesLapse = drawIndex(2) == 0;
        return repairLater(until, [this] { store_.faults().isBusy = false; });
    case 1:
        log("store loses answers");
        store_.faults().lostWrites = 0.4;
        return repairLater(until, [this] { store_.faults().lostWrites = 0; });
    case 2:
        log("store drops its history");
        return store_.dropHistory();
    case 3:
        log("promotions are late");
        latePromotions_ = 0.5;
        return repairLater(until, [this] { latePromotions_ = 0; });
    default:
        log("new configuration");
        extraRoutes_ = drawIndex(100);
        return writeConfiguration();
    }
}

void SoakRun::drawRestores()
{
    restoreRandom_.seed(settings_.seed);
    std::uniform_int_distribution<int> moment(0, static_cast<int>(settings_.faultTime.count()));
    for (std::size_t number = 0; number < settings_.storeRestores; ++number)
        restoresAt_.push_back(faultsUntil_ - Milliseconds(moment(restoreRandom_)));
    std::sort(restoresAt_.begin(), restoresAt_.end());
}

void SoakRun::restoreStore(TimePoint now)
{
    const Milliseconds age(std::uniform_int_distribution<int>(200, 5000)(restoreRandom_));
    const Milliseconds gap(std::uniform_int_distribution<int>(100, 1500)(restoreRandom_));
    log("store comes back from a copy " + std::to_string(age.count()) + " ms old");
    store_.restore(age, now);
    for (Endpoint& endpoint : endpoints_) {
        const StandinEndpoint* server = endpoint.group->find(endpoint.id);
        if (server && server->isUp())
            continue;
        // The copy may list it; it is removed again after its silence.
        endpoint.isListed = true;
        endpoint.silentSince = now;
    }
    repairLater(now + gap, [this] { store_.put("op/config", configuration_); });
    repairLater(now + entryLife, [this] {
        for (const std::string& key : store_.keysOf("servers/")) {
            const bool isPresent = std::any_of(endpoints_.begin(), endpoints_.end(),
                [&key](const Endpoint& endpoint) { return key == "servers/" + endpoint.id.text(); });
            if (!isPresent)
                store_.remove(key);
        }
    });
}

void SoakRun::replacePrimary(TimePoint now)
{
    for (Endpoint& endpoint : endpoints_) {
        const StandinEndpoint* server = endpoint.group->find(endpoint.id);
        const bool isBusy = endpoint.isLeaving || !server || !server->isUp();
        if (isBusy || !endpoint.group->leads(*server) || drawIndex(2) == 0)
            continue;
        log("planned replacement of " + endpoint.id.text());
        endpoint.isLeaving = true;
        writeEntry(endpoint);
        // Its log goes to a new server when it ends, as the platform does it.
        return repairLater(now + Milliseconds(4000), [this, group = endpoint.group, id = endpoint.id] {
            const StandinEndpoint* leaving = group->find(id);
            if (!leaving)
                return;
            const std::vector<LogEntry> log = leaving->log();
            const bool led = group->leads(*leaving);
            const std::string name = group->id().text() + 'r' + std::to_string(++replaced_);
            group->remove(id);
            for (std::size_t index = 0; index < endpoints_.size(); ++index) {
                if (endpoints_[index].id != id)
                    continue;
                store_.remove("servers/" + id.text());
                retiredProxies_.push_back(std::move(endpoints_[index].proxy));
                retiredProxies_.back()->reset();
                endpoints_.erase(endpoints_.begin() + static_cast<std::ptrdiff_t>(index));
                break;
            }
            this->log(id.text() + " is replaced by " + name + (led ? ", it still led" : ""));
            addEndpoint(*group, name, log);
            if (led)
                group->setFirstLeader(EndpointId(name));
        });
    }
}

void SoakRun::healAll()
{
    isHealed_ = true;
    log("end of the faults");
    for (Endpoint& endpoint : endpoints_)
        endpoint.mutedUntil = {};
    const std::vector<Repair> repairs = std::move(repairs_);
    repairs_.clear();
    for (const Repair& repair : repairs)
        repair.mend();
    for (const auto& daemon : daemons_) {
        if (!daemon->process->isRunning())
            daemon->startAt = Clock::now();
    }
}

} // namespace almondlever::soak
