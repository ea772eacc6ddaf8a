#include "almondlever/daemon/Daemon.h"

#include "PrimaryReportForwarder.h"
#include "StatusPages.h"
#include "almondlever/caller_api/CallerApi.h"
#include "almondlever/control/ControlLoop.h"
#include "almondlever/daemon/PeerForwarder.h"
#include "almondlever/endpoints/HttpEndpointConnector.h"
#include "almondlever/entry/EntryRouter.h"
#include "almondlever/limits/LimitSettings.h"
#include "almondlever/platform/HttpPlatform.h"
#include "almondlever/transport/AsioTimerService.h"

#include <algorithm>
#include <asio.hpp>
#include <csignal>
#include <ctime>
#include <pthread.h>
#include <sys/resource.h>
#include <thread>

namespace almondlever {

namespace {

    constexpr Milliseconds trafficTickInterval { 10 };
    constexpr std::chrono::seconds suppressedReportInterval { 10 };
    /** Time without requests or work in progress after which shutdown ends the process, closing open connections. */
    constexpr Milliseconds idleTimeBeforeExit { 300 };

    std::uint64_t randomSeed()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    }

    HttpServerSettings serverSettings(const DaemonSettings& settings)
    {
        HttpServerSettings server;
        server.host = settings.listenHost;
        server.port = settings.listenPort;
        // Beyond the system's limit every accept would fail, also those of the connections between daemons.
        rlimit descriptors {};
        const bool isKnown = getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
        const std::size_t usable
            = isKnown ? limitSettingsFor(0, descriptors.rlim_cur).callerDescriptors : settings.maximumConnections;
        server.maximumConnections = std::min(settings.maximumConnections, usable);
        // Above the documented limits, so that callers who exceed those get an answer that names the limit.
        server.maximumBodyBytes = 4 * 1024 * 1024;
        server.maximumHeaderValueBytes = 32 * 1024;
        server.readTimeout = settings.clientReadTimeout;
        return server;
    }

} // namespace

struct Daemon::State {
    explicit State(const DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , trafficTimers(traffic)
        , controlTimers(control)
        , connector(traffic, settings.vm)
        , controlConnector(control, settings.vm)
        , keyValue(makeHttpKeyValueService(control, settings.keyValueAddress, settings.vm))
        , vmList(makeHttpVmList(control, settings.vmListAddress, settings.vm))
        , network(makePeerNetwork(traffic, { settings.vm, settings.failureDomain, settings.peerAdvertise },
              settings.peerListen, settings.clusterKey))
        , decisions(settings.decisionLinesPerSecond)
        , tokenCodec(settings.clusterKey)
        , primaryReports(trafficTimers,
              [this](std::function<void(ControlLoop&, TimePoint)> call) {
                  asio::post(control, [this, call = std::move(call)] { call(*controlLoop, Clock::now()); });
              })
        , serving(servingContext())
        , forwarder(*network, serving, trafficTimers, randomSeed() / 2)
        , router(forwarder, trafficTimers, tokenCodec, retryBudget, metrics, decisions, randomSeed())
        , api(router, pages())
        , server(makeHttpServer(traffic, serverSettings(settings),
              [this](const std::shared_ptr<HttpExchange>& exchange) {
                  lastRequest = Clock::now();
                  api.handle(exchange);
              }))
        , signals(traffic, SIGTERM, SIGINT)
    {
    }

    ServingContext servingContext()
    {
        ServingSettings servingSettings;
        servingSettings.transactionIdleLimit = settings.transactionIdleLimit;
        return { connector, trafficTimers, primaryReports, metrics, decisions, servingSettings,
            [](const std::vector<RankRule>& ranks, std::size_t slots) {
                return std::make_unique<RankScheduler>(ranks, slots);
            },
            [this] { return ++lastNumber; } };
    }

    CallerApiPages pages()
    {
        CallerApiPages result;
        result.isReady = [this] { return isReady(); };
        result.metrics = [this] { return metricsText(); };
        result.status = [this] { return statusPage(snapshot.get(), isReady(), serving.servedEndpoints()); };
        result.explain = [this](const CallerId& caller, const DatabaseId& database, OperationKind operation) {
            return explanationPage(router.explain(caller, database, operation, Clock::now()));
        };
        return result;
    }

    bool isReady() const { return !isStopping && snapshot && snapshot->configuration; }

    std::string metricsText()
    {
        serving.exportMetrics();
        metrics.setGauge("almondlever_client_connections", "", static_cast<double>(server->openConnections()));
        metrics.setGauge("almondlever_pending_requests", "", static_cast<double>(router.pendingCount()));
        metrics.setGauge(
            "almondlever_daemons_known", "", snapshot ? static_cast<double>(snapshot->members.daemons.size()) : 0);
        metrics.setGauge("almondlever_configuration_version", "",
            snapshot && snapshot->configuration ? static_cast<double>(snapshot->configuration->version) : 0);
        const PeerTraffic bytes = network->traffic();
        metrics.setGauge("almondlever_peer_bytes", "class=\"control\"", static_cast<double>(bytes.controlBytes));
        metrics.setGauge("almondlever_peer_bytes", "class=\"forwarded\"", static_cast<double>(bytes.forwardedBytes));
        metrics.setGauge("almondlever_control_cpu_seconds", "", controlCpuSeconds());
        return metrics.toPrometheusText();
    }

    double controlCpuSeconds()
    {
        clockid_t clock {};
        timespec used {};
        if (!controlThread.joinable() || pthread_getcpuclockid(controlThread.native_handle(), &clock) != 0
            || clock_gettime(clock, &used) != 0)
            return 0;
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
    }

    void startControl()
    {
        ControlContext context { { settings.vm, settings.failureDomain, settings.peerAdvertise, false }, controlTimers,
            controlConnector, *keyValue, *vmList,
            [this](const VmId& vm, const std::string& address, Message message) {
                asio::post(traffic,
                    [this, vm, address, message = std::move(message)] { network->send(vm, address, message); });
            },
            [this](SnapshotPtr next) { asio::post(traffic, [this, next = std::move(next)] { applySnapshot(next); }); },
            {}, settings.seeds, randomSeed() };
        controlLoop = std::make_unique<ControlLoop>(std::move(context));
        asio::post(control, [this] {
            controlLoop->start(Clock::now());
            tickControl();
        });
        controlThread = std::thread([this] {
            const auto work = asio::make_work_guard(control);
            control.run();
        });
    }

    void tickControl()
    {
        controlTimers.callAfter(ControlLoop::tickInterval, [this](TimePoint now) {
            controlLoop->onTick(now);
            tickControl();
        });
    }

    void tickTraffic()
    {
        trafficTimers.callAfter(trafficTickInterval, [this](TimePoint now) {
            serving.onTick(now);
            forwarder.onTick(now);
            reportSuppressed(now);
            if (isStopping)
                checkDrained(now);
            tickTraffic();
        });
    }

    void reportSuppressed(TimePoint now)
    {
        if (now < nextSuppressedReport)
            return;
        nextSuppressedReport = now + suppressedReportInterval;
        const std::uint64_t count = decisions.takeSuppressedCount();
        if (count > 0)
            logWarning("decisions_not_logged",
                { { "count", std::to_string(count) }, { "reason", "bound_of_lines_per_second" } });
    }

    void applySnapshot(const SnapshotPtr& next)
    {
        const TimePoint now = Clock::now();
        snapshot = next;
        router.setSnapshot(next);
        serving.setSnapshot(next, now);
        forwarder.setSnapshot(next);
    }

    void onPeerMessage(const PeerIdentity& from, Message message)
    {
        const TimePoint now = Clock::now();
        if (auto* request = std::get_if<ForwardRequest>(&message))
            return forwarder.onRequest(from, std::move(*request), now);
        if (auto* reply = std::get_if<ForwardReply>(&message))
            return forwarder.onReply(from.id, std::move(*reply), now);
        asio::post(control,
            [this, from, message = std::move(message)] { controlLoop->onMessage(from, message, Clock::now()); });
    }

    void onPeerLost(const VmId& peer)
    {
        forwarder.onPeerLost(peer, Clock::now());
        asio::post(control, [this, peer] { controlLoop->onPeerLost(peer, Clock::now()); });
    }

    void beginShutdown()
    {
        if (isStopping)
            return;
        const TimePoint now = Clock::now();
        isStopping = true;
        stopDeadline = now + settings.drainDelay + settings.drainLimit;
        logInfo("shutdown", { { "step", "readiness_off" } });
        trafficTimers.callAfter(settings.drainDelay, [this](TimePoint) {
            logInfo("shutdown", { { "step", "hand_over" } });
            isHandingOver = true;
            asio::post(control, [this] { controlLoop->beginShutdown(Clock::now()); });
        });
    }

    void checkDrained(TimePoint now)
    {
        const bool isBusy = !isHandingOver || !snapshot || !snapshot->isShuttingDown || !serving.isIdle()
            || router.pendingCount() != 0 || forwarder.pendingCount() != 0;
        if (isBusy)
            lastBusy = now;
        // Answers that were just written to a socket need time to be sent.
        const bool isDone = !isBusy && now > std::max(lastRequest, lastBusy) + idleTimeBeforeExit;
        if (!isDone && now < stopDeadline)
            return;
        logInfo("shutdown", { { "step", "exit" }, { "reason", isDone ? "drained" : "drain_limit" } });
        exitStatus = isDone ? 0 : 1;
        traffic.stop();
    }

    void stopThreads()
    {
        control.stop();
        if (controlThread.joinable())
            controlThread.join();
    }

    DaemonSettings settings;
    asio::io_context traffic { 1 };
    asio::io_context control { 1 };
    AsioTimerService trafficTimers;
    AsioTimerService controlTimers;
    HttpEndpointConnector connector;
    HttpEndpointConnector controlConnector;
    std::unique_ptr<KeyValueService> keyValue;
    std::unique_ptr<VmList> vmList;
    std::unique_ptr<PeerNetwork> network;
    Metrics metrics;
    DecisionLog decisions;
    SessionTokenCodec tokenCodec;
    RetryBudget retryBudget;
    PrimaryReportForwarder primaryReports;
    ServingHost serving;
    PeerForwarder forwarder;
    EntryRouter router;
    CallerApi api;
    std::unique_ptr<HttpServer> server;
    asio::signal_set signals;
    std::unique_ptr<ControlLoop> controlLoop;
    std::thread controlThread;
    SnapshotPtr snapshot;
    /** Last number that ServingContext::nextNumber returned. Starts at random, so that a transaction id of an earlier
     * run of this process does not name another transaction. */
    std::uint64_t lastNumber = randomSeed() / 2;
    TimePoint lastRequest;
    TimePoint lastBusy;
    TimePoint stopDeadline;
    TimePoint nextSuppressedReport;
    bool isStopping = false;
    bool isHandingOver = false;
    int exitStatus = 0;
};

Daemon::Daemon(const DaemonSettings& settings)
    : state_(std::make_unique<State>(settings))
{
}

Daemon::~Daemon() { state_->stopThreads(); }

std::string Daemon::start()
{
    State& state = *state_;
    const auto listening = state.network->listen();
    if (!listening)
        return listening.error();
    const auto address = state.server->start();
    if (!address)
        return address.error();
    logInfo("listening",
        { { "address", address.value().host + ':' + std::to_string(address.value().port) },
            { "vm", state.settings.vm.text() } });
    state.network->onMessage(
        [&state](const PeerIdentity& from, Message message) { state.onPeerMessage(from, std::move(message)); });
    state.network->onUnsent(
        [&state](std::uint64_t correlation) { state.forwarder.onUnsent(correlation, Clock::now()); });
    state.network->onLoss([&state](const VmId& peer) { state.onPeerLost(peer); });
    state.signals.async_wait([&state](std::error_code error, int) {
        if (!error)
            state.beginShutdown();
    });
    state.startControl();
    state.tickTraffic();
    return {};
}

int Daemon::run()
{
    state_->traffic.run();
    state_->stopThreads();
    return state_->exitStatus;
}

} // namespace almondlever
