// A small deployment on loopback addresses: real daemons, and the stand-ins that they speak to.
#pragma once

#include "Servers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void pause(std::int64_t milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); }

struct RouteSettings {
    std::string database;
    std::string service;
    std::string type = "primary";
    int timeoutMs = 1000;
    int targetMs = 500;
    int stalenessMs = 0;
    int priority = 0;
};

// A real daemon, started as the deploy file says.
struct Daemon {
    std::string name;
    std::string ip;
    std::string boot;
    std::string log;
    pid_t process = -1;
};

// A caller's connection, with blocking calls.
class Caller {
public:
    struct Answer {
        // False if the connection ended or nothing came in time.
        bool isComplete = false;
        bool isClosed = false;
        std::string signature;
        std::string error;
        std::string ready;
        std::vector<std::string> rows;
    };

    ~Caller() { close(); }
    // receiveBytes and segmentBytes emulate a narrow link: a small window and segments as on Ethernet.
    bool connect(const std::string& ip, std::uint16_t port, int receiveBytes = 0, int segmentBytes = 0)
    {
        close();
        input_.clear();
        socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (receiveBytes > 0)
            ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        if (segmentBytes > 0)
            ::setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    void close()
    {
        if (socket_ >= 0)
            ::close(socket_);
        socket_ = -1;
    }
    bool isConnected() const { return socket_ >= 0; }
    bool send(const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(socket_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    // Reads at most bytesPerSecond if that is not 0.
    std::optional<std::string> readLine(std::int64_t patienceMs, std::int64_t bytesPerSecond = 0)
    {
        const auto until = SteadyClock::now() + Milliseconds(patienceMs);
        for (;;) {
            const std::size_t end = input_.find("\r\n");
            if (end != std::string::npos) {
                const std::string line = input_.substr(0, end);
                input_.erase(0, end + 2);
                return line;
            }
            const auto left = std::chrono::duration_cast<Milliseconds>(until - SteadyClock::now()).count();
            pollfd waiting { socket_, POLLIN, 0 };
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
                return std::nullopt;
            char chunk[16384];
            const ssize_t n = ::recv(socket_, chunk, sizeof chunk, 0);
            if (n <= 0) {
                isClosed_ = true;
                return std::nullopt;
            }
            received_ += n;
            input_.append(chunk, static_cast<std::size_t>(n));
            if (bytesPerSecond > 0)
                std::this_thread::sleep_for(std::chrono::microseconds(n * 1000000 / bytesPerSecond));
        }
    }
    Answer readAnswer(std::int64_t patienceMs, std::int64_t bytesPerSecond = 0)
    {
        Answer answer;
        isClosed_ = false;
        received_ = 0;
        while (const auto line = readLine(patienceMs, bytesPerSecond)) {
            std::string rest = *line;
            const std::string word = takeWord(rest);
            if (word == "DATAROW")
                answer.rows.push_back(rest);
            else if (word == "COMPLETE")
                answer.signature = rest;
            else if (word == "ERROR")
                answer.error = rest;
            else if (word == "READY") {
                answer.ready = rest;
                answer.isComplete = true;
                return answer;
            }
        }
        answer.isClosed = isClosed_;
        return answer;
    }
    std::int64_t received() const { return received_; }
    bool open(const std::string& ip, std::uint16_t port, const std::string& database, int receiveBytes = 0,
        int segmentBytes = 0)
    {
        return connect(ip, port, receiveBytes, segmentBytes) && send("STARTUP " + database + " reviewer\r\n")
            && readAnswer(2000).isComplete;
    }
    Answer query(const std::string& id, const std::string& text, std::int64_t patienceMs = 5000)
    {
        if (!send("QUERY " + id + ' ' + text + "\r\n")) {
            Answer answer;
            answer.isClosed = true;
            return answer;
        }
        return readAnswer(patienceMs);
    }

private:
    int socket_ = -1;
    std::string input_;
    bool isClosed_ = false;
    std::int64_t received_ = 0;
};

class Deployment {
public:
    static constexpr std::uint16_t frontPort = 8784;
    static constexpr std::uint16_t readyPort = 8785;
    static constexpr std::uint16_t platformPort = 8783;
    static constexpr std::uint16_t serverPort = 8149;

    explicit Deployment(std::string program)
        : store_(context_)
        , program_(std::move(program))
    {
        // Loopback addresses of this run alone, so that the ports of the deployment are free on them.
        const auto number = static_cast<unsigned>(getpid());
        prefix_ = "127." + std::to_string(20 + number / 250 % 200) + '.' + std::to_string(1 + number % 250) + '.';
        char folder[] = "/tmp/review-XXXXXX";
        if (!mkdtemp(folder))
            throw CannotRun("no temporary folder");
        folder_ = folder;
        if (access(program_.c_str(), X_OK) != 0)
            throw CannotRun("the daemon's program is missing: run the build of the deploy file");
    }
    ~Deployment()
    {
        for (Daemon& daemon : daemons_) {
            if (daemon.process > 0) {
                kill(daemon.process, SIGKILL);
                waitpid(daemon.process, nullptr, 0);
            }
        }
        context_.stop();
        if (thread_.joinable())
            thread_.join();
        if (!std::getenv("KEEP")) {
            std::error_code ignored;
            std::filesystem::remove_all(folder_, ignored);
        }
    }

    // Set before start(): each daemon reaches each server by an address of its own, which can be cut
    // (Server::cutPaths).
    bool hasSeparatePaths = false;

    Group& addGroup(const std::string& name)
    {
        groups_.push_back(std::make_unique<Group>(context_, store_, name));
        Group& group = *groups_.back();
        for (int i = 0; i < 3; ++i)
            group.add("i-" + name + std::to_string(i), zones_[static_cast<std::size_t>(i)], nextIp(), serverPort);
        return group;
    }
    void addRoute(const RouteSettings& route) { routes_.push_back(route); }
    void addDaemons(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Daemon daemon;
            daemon.name = "front-" + zones_[i % zones_.size()] + '-' + std::to_string(i / zones_.size() + 1);
            daemon.ip = nextIp();
            daemon.boot = folder_ + '/' + daemon.name + ".json";
            daemon.log = folder_ + '/' + daemon.name + ".log";
            daemons_.push_back(daemon);
        }
    }
    // Starts the platform, the servers and the daemons but the last ones, and waits until each daemon is ready.
    void start(std::size_t spares = 0)
    {
        const std::size_t started = daemons_.size() - spares;
        std::map<std::string, Group*> byName;
        for (const auto& group : groups_)
            byName[group->name()] = group.get();
        promotions_ = std::make_unique<Promotions>(byName);
        std::vector<std::string> platforms;
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            // Without paths of their own, all daemons call the platform at one address.
            if (i == 0 || hasSeparatePaths) {
                platforms.push_back(nextIp());
                const int reader = hasSeparatePaths ? static_cast<int>(i) + 1 : 0;
                httpServers_.push_back(std::make_unique<HttpServer>(context_, platforms.back(), platformPort,
                    [this, reader](const auto& exchange) { store_.handle(exchange, reader); }));
                httpServers_.push_back(std::make_unique<HttpServer>(context_, platforms.back(), platformPort + 1,
                    [this](const auto& exchange) { promotions_->handle(exchange); }));
            } else {
                platforms.push_back(platforms.front());
            }
        }
        if (hasSeparatePaths)
            separatePaths();
        writeConfiguration(1);
        for (const auto& group : groups_)
            group->start();
        thread_ = std::thread([this] { context_.run(); });
        for (std::size_t i = 0; i < started; ++i) {
            writeBoot(daemons_[i], platforms[i], true);
            startDaemon(i);
        }
        for (std::size_t i = 0; i < started; ++i)
            waitUntilReady(i, 15000);
        // The daemons find each other and open their connections to the servers.
        pause(3000);
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            writeBoot(daemons_[i], platforms[i], false);
        record().line("%zu daemons are ready", started);
    }
    void startDaemon(std::size_t index)
    {
        Daemon& daemon = daemons_[index];
        daemon.process = fork();
        if (daemon.process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(daemon.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            for (int descriptor = 3; descriptor < 1024; ++descriptor)
                ::close(descriptor);
            const std::string boot = "ALMONDLEVER_BOOT=" + daemon.boot;
            char* const arguments[] = { const_cast<char*>(program_.c_str()), const_cast<char*>("--metrics-port"),
                const_cast<char*>("9464"), nullptr };
            char* const environment[] = { const_cast<char*>(boot.c_str()), nullptr };
            execve(program_.c_str(), arguments, environment);
            _exit(127);
        }
        if (daemon.process < 0)
            throw CannotRun("cannot start a daemon");
    }
    void signal(std::size_t index, int number)
    {
        record().line("signal %d to %s", number, daemons_[index].name.c_str());
        kill(daemons_[index].process, number);
    }
    // The status of a daemon that has ended: its exit code, or 128 and the number of the signal.
    std::optional<int> takeEnd(std::size_t index, std::int64_t patienceMs = 0)
    {
        Daemon& daemon = daemons_[index];
        const std::int64_t until = record().now() + patienceMs;
        do {
            int status = 0;
            if (daemon.process > 0 && waitpid(daemon.process, &status, WNOHANG) == daemon.process) {
                daemon.process = -1;
                return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            }
            if (patienceMs > 0)
                pause(5);
        } while (record().now() < until);
        return std::nullopt;
    }
    bool isReady(std::size_t index)
    {
        Caller probe;
        if (!probe.connect(daemons_[index].ip, readyPort)
            || !probe.send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
            return false;
        const auto line = probe.readLine(1000);
        return line && line->find(" 200") != std::string::npos;
    }
    void waitUntilReady(std::size_t index, std::int64_t patienceMs)
    {
        const std::int64_t until = record().now() + patienceMs;
        while (!isReady(index)) {
            if (record().now() > until)
                throw CannotRun(daemons_[index].name + " does not become ready");
            pause(100);
        }
    }
    // Runs on the thread of the stand-ins, and returns when it is done.
    template <typename Function> void call(Function function)
    {
        std::promise<void> done;
        asio::post(context_, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }
    // Runs on the thread of the stand-ins after a delay.
    void after(std::int64_t milliseconds, std::function<void()> function)
    {
        auto timer = std::make_shared<asio::steady_timer>(context_, Milliseconds(milliseconds));
        timer->async_wait([timer, function = std::move(function)](std::error_code error) {
            if (!error)
                function();
        });
    }
    std::string reserveIp() { return nextIp(); }
    std::string grepLog(std::size_t index, const std::string& pattern) const
    {
        std::ifstream file(daemons_[index].log);
        std::string line;
        std::string found;
        while (std::getline(file, line)) {
            if (line.find(pattern) != std::string::npos)
                found = line;
        }
        return found;
    }

    std::vector<Daemon>& daemons() { return daemons_; }
    std::vector<std::unique_ptr<Group>>& groups() { return groups_; }
    Store& store() { return store_; }
    Promotions& promotions() { return *promotions_; }
    asio::io_context& context() { return context_; }
    const std::string& folder() const { return folder_; }

private:
    void separatePaths()
    {
        for (const auto& group : groups_) {
            for (const auto& server : group->servers()) {
                for (int reader = 1; reader <= static_cast<int>(daemons_.size()); ++reader) {
                    const std::string ip = nextIp();
                    server->addPath(ip, reader);
                    addressesByPath_[{ "servers/" + server->id(), reader }] = ip + ':' + std::to_string(serverPort);
                }
            }
        }
        store_.rewrite = [this](const std::string& key, const std::string& base64, int reader) {
            const auto found = addressesByPath_.find({ key, reader });
            if (found == addressesByPath_.end())
                return base64;
            Json entry = Json::parse(decodeBase64(base64));
            entry["address"] = found->second;
            return encodeBase64(entry.dump());
        };
    }

    std::string nextIp() { return prefix_ + std::to_string(++lastIp_); }

    void writeConfiguration(int version)
    {
        Json routes = Json::array();
        for (const RouteSettings& route : routes_) {
            Json entry = { { "database", route.database }, { "service", route.service }, { "type", route.type },
                { "timeout-ms", route.timeoutMs }, { "target-latency-ms", route.targetMs },
                { "priority", route.priority } };
            if (route.stalenessMs > 0)
                entry["max-staleness-ms"] = route.stalenessMs;
            routes.push_back(entry);
        }
        Json services = Json::array();
        for (const auto& group : groups_)
            services.push_back({ { "name", group->name() }, { "max-conns", group->maximumConnections },
                { "sync-replicas", group->synchronousReplicas } });
        const Json configuration = { { "version", version }, { "routes", routes }, { "services", services },
            { "limits", { { "tx-idle-ms", 5000 }, { "max-body-bytes", 262144 } } } };
        store_.put("op/config", configuration.dump());
    }

    void writeBoot(const Daemon& daemon, const std::string& platform, bool isFirstStart) const
    {
        const std::string zone = daemon.name.substr(6, daemon.name.rfind('-') - 6);
        const Json boot = { { "node-name", daemon.name }, { "role", "front" }, { "machine-class", "front" },
            { "serves", { "front" } }, { "ip", daemon.ip }, { "zone", zone }, { "region", zone },
            { "zones", { { zones_[0], zones_[0] }, { zones_[1], zones_[1] }, { zones_[2], zones_[2] } } },
            { "listen",
                { { "front", daemon.ip + ':' + std::to_string(frontPort) },
                    { "ready-addr", daemon.ip + ':' + std::to_string(readyPort) } } },
            { "internal-ports", { 7440, 7455 } }, { "seeds", Json::array() }, { "bootstrap", isFirstStart },
            { "counts-as-loss", false },
            { "limits",
                { { "cpu-share", 0.25 }, { "cores", 1 }, { "memory-mb", 260 }, { "max-fds", 4200 },
                    { "link-mbps", 1000.0 }, { "disk-mb", 0 } } },
            { "data-dir", nullptr }, { "discovery", "platform" }, { "entry", "vip" }, { "heartbeat-ms", 1200 },
            { "contracts", { "base", "drain", "config", "cost", "recover", "sql", "platform" } },
            { "fault-tolerance", { { "machines", 1 }, { "zones", 0 }, { "regions", 0 } } },
            { "bounds",
                { { "seed-lag-s", 3 }, { "reuse-after-s", 2 }, { "contact-ms", 5000 }, { "ack-ms", 6000 },
                    { "catch-up-s", 4 }, { "drain-ms", 7000 }, { "grace-s", 6 }, { "loss-slack-ms", 200 },
                    { "config-apply-ms", 3000 }, { "downgrade-slack-ms", 250 }, { "max-skew-ms", 15000 },
                    { "recover-s", 12 }, { "enforce-fencing", true }, { "thaw-ms", 300 } } },
            { "platform",
                { { "address", platform + ':' + std::to_string(platformPort) }, { "form", "kv" },
                    { "writes-per-s", 400 }, { "reads-per-s", 2000 }, { "history-s", 20 }, { "value-bytes", 1048576 },
                    { "ttl-min-ms", 1000 } } },
            { "cloud",
                { { "address", platform + ':' + std::to_string(platformPort + 1) }, { "rate-per-s", 50.0 },
                    { "duties", { "promotion" } }, { "duty-per-s", 50.0 } } } };
        std::ofstream(daemon.boot) << boot.dump(2);
    }

    asio::io_context context_;
    Store store_;
    std::string program_;
    std::string prefix_;
    std::string folder_;
    int lastIp_ = 0;
    const std::vector<std::string> zones_ { "khomas-a", "kavango-a", "erongo-a" };
    std::vector<std::unique_ptr<Group>> groups_;
    std::vector<RouteSettings> routes_;
    std::vector<Daemon> daemons_;
    std::unique_ptr<Promotions> promotions_;
    std::vector<std::unique_ptr<HttpServer>> httpServers_;
    std::map<std::pair<std::string, int>, std::string> addressesByPath_;
    std::thread thread_;
};

} // namespace review
