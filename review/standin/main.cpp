// Runs one case: review-case NAME PROGRAM RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
// run.
#include "Deployment.h"

#include <iostream>

namespace review {

bool isTroubled()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

std::string newId()
{
    static std::atomic<unsigned> number { 0 };
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()) * 2654435761U, ++number);
    return text;
}

int conclude(bool isBroken, const std::string& what)
{
    record().line("%s: %s", isBroken ? "BROKEN" : "held", what.c_str());
    std::cout << (isBroken ? "broken: " : "held: ") << what << '\n';
    return isBroken ? 1 : 0;
}

// A session sets values of 250,000 bytes, 17 of them, and reads.
int valuesCase(Deployment& deployment)
{
    deployment.addGroup("pod-ledger");
    deployment.addRoute({ "lepu270", "pod-ledger" });
    deployment.addDaemons(3);
    deployment.start();
    constexpr int values = 17;
    const std::size_t bytes = isTroubled() ? 250000 : 250;
    int ends = 0;
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        for (int round = 0; round < 3; ++round) {
            Caller caller;
            if (!caller.open(deployment.daemons()[daemon].ip, Deployment::frontPort, "lepu270"))
                throw CannotRun("no session");
            int acknowledged = 0;
            for (int value = 0; value < values; ++value) {
                const auto answer = caller.query(newId(),
                    "SET v" + std::to_string(value) + ' ' + std::string(bytes, static_cast<char>('a' + round)));
                acknowledged += answer.isComplete && answer.error.empty() ? 1 : 0;
            }
            record().line("%s: %d of %d SETs of %zu bytes were acknowledged", deployment.daemons()[daemon].name.c_str(),
                acknowledged, values, bytes);
            const std::string id = newId();
            const auto answer = caller.query(id, "READ 1a4");
            record().line("READ %s: %s", id.c_str(),
                !answer.isComplete         ? "connection ended without an answer"
                    : answer.error.empty() ? ("COMPLETE " + answer.signature).c_str()
                                           : ("ERROR " + answer.error).c_str());
            const auto end = deployment.takeEnd(daemon, answer.isComplete ? 0 : 2000);
            if (!end)
                continue;
            ++ends;
            record().line("%s ended by itself with status %d", deployment.daemons()[daemon].name.c_str(), *end);
            pause(1000);
            deployment.startDaemon(daemon);
            deployment.waitUntilReady(daemon, 15000);
        }
    }
    return conclude(ends > 0, std::to_string(ends) + " times a daemon ended by itself");
}

int smuggleCase(Deployment& deployment)
{
    Group& group = deployment.addGroup("pod-ledger");
    deployment.addRoute({ "lepu270", "pod-ledger" });
    deployment.addDaemons(3);
    deployment.start();
    std::map<std::string, std::string> sent;
    for (Daemon& daemon : deployment.daemons()) {
        Caller caller;
        if (!caller.open(daemon.ip, Deployment::frontPort, "lepu270"))
            throw CannotRun("no session");
        const std::string id = newId();
        const std::string note = "WRITE 1a4 first line" + std::string(isTroubled() ? "\n" : " ") + "QUERY " + newId()
            + " WRITE 1a4 second line";
        sent[id] = note;
        const auto answer = caller.query(id, note);
        record().line("%s was sent to %s with %zu bytes: %s %s", id.c_str(), daemon.name.c_str(), note.size(),
            answer.isComplete ? "answered" : "no answer", (answer.signature + answer.error).c_str());
    }
    pause(300);
    int broken = 0;
    deployment.call([&] {
        for (const Run& run : group.runs()) {
            const auto found = sent.find(run.id);
            const bool isAsSent = found != sent.end() && found->second == run.text;
            record().line("%s ran %s '%s': %s", run.server.c_str(), run.id.c_str(), run.text.c_str(),
                found == sent.end() ? "no client sent this id"
                    : isAsSent      ? "as sent"
                                    : "text was changed");
            broken += isAsSent ? 0 : 1;
        }
    });
    return conclude(broken > 0, std::to_string(broken) + " statements ran that no client sent in this form");
}

int truncatedCase(Deployment& deployment)
{
    Group& group = deployment.addGroup("pod-ledger");
    deployment.addRoute({ "lepu270", "pod-ledger", "bounded_staleness", 3000, 2500, 1500, 2 });
    deployment.addDaemons(3);
    // 1.8 MB.
    const std::vector<std::string> rows(20, std::string(90000, 'r'));
    for (const auto& server : group.servers())
        server->rowsOf["1a4"] = rows;
    deployment.start();
    const Daemon& daemon = deployment.daemons()[0];
    constexpr int sessions = 20;
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < sessions; ++i) {
        callers.push_back(std::make_unique<Caller>());
        if (!callers.back()->open(daemon.ip, Deployment::frontPort, "lepu270", 65536, 1448))
            throw CannotRun("no session");
        if (!callers.back()->query(newId(), "READ 2b7").isComplete)
            throw CannotRun("no answer before the stop");
    }
    const std::int64_t stopAt = record().now();
    if (isTroubled())
        deployment.signal(0, SIGTERM);
    pause(3300 - (record().now() - stopAt));
    std::vector<std::thread> threads;
    std::atomic<int> broken { 0 };
    std::atomic<int> complete { 0 };
    for (int i = 0; i < sessions; ++i) {
        threads.emplace_back([&, i] {
            Caller& caller = *callers[static_cast<std::size_t>(i)];
            const std::string id = newId();
            const std::int64_t sentAt = record().now();
            if (!caller.send("QUERY " + id + " READ 1a4\r\n"))
                return;
            const auto answer = caller.readAnswer(3000, 1250000);
            const std::int64_t taken = record().now() - sentAt;
            if (!answer.isComplete && caller.received() == 0)
                return;
            record().line("READ %s sent %lld ms after the signal: %s after %lld ms and %lld bytes", id.c_str(),
                static_cast<long long>(sentAt - stopAt),
                answer.isComplete ? "complete answer" : "the connection ended without a complete answer",
                static_cast<long long>(taken), static_cast<long long>(caller.received()));
            if (answer.isComplete)
                ++complete;
            else if (answer.isClosed && taken > 200 && taken < 3000)
                ++broken;
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return conclude(
        broken > 0, std::to_string(broken) + " answers were cut off, " + std::to_string(complete) + " were complete");
}

// New databases: the answer to the first commit of each is lost.
int promiseCase(Deployment& deployment)
{
    const std::vector<std::string> services { "pod-ledger", "pod-ledger-b", "pod-ledger-c" };
    for (const std::string& service : services) {
        deployment.addGroup(service);
        deployment.addRoute({ "db-of-" + service, service });
    }
    deployment.addDaemons(3);
    deployment.start();
    static const std::set<std::string> promises { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
    int broken = 0;
    for (std::size_t i = 0; i < services.size(); ++i) {
        Group& group = *deployment.groups()[i];
        Caller caller;
        if (!caller.open(deployment.daemons()[i].ip, Deployment::frontPort, "db-of-" + services[i]))
            throw CannotRun("no session");
        for (int read = 0; read < 8; ++read) {
            const std::string id = newId();
            const auto answer = caller.query(id, "READ 1a4");
            record().line(
                "%s: READ %s: %s", services[i].c_str(), id.c_str(), (answer.signature + answer.error).c_str());
        }
        const std::string begin = newId();
        const std::string write = newId();
        const std::string commit = newId();
        caller.query(begin, "BEGIN");
        const auto written = caller.query(write, "WRITE 1a4 booking");
        record().line("%s: WRITE %s in a transaction: %s", services[i].c_str(), write.c_str(),
            (written.signature + written.error).c_str());
        if (isTroubled())
            deployment.call([&] { group.leader().answersToLose = 1; });
        const auto answer = caller.query(commit, "COMMIT");
        pause(300);
        bool isKept = false;
        deployment.call([&] {
            for (const auto& server : group.servers()) {
                for (const LogEntry& entry : server->log())
                    isKept = isKept || std::count(entry.writes.begin(), entry.writes.end(), write) > 0;
            }
        });
        const std::string error = answer.error.substr(0, answer.error.find(' '));
        record().line("%s: COMMIT %s: %s; the write is %s", services[i].c_str(), commit.c_str(),
            answer.isComplete
                ? (answer.error.empty() ? "COMPLETE " + answer.signature : "ERROR " + answer.error).c_str()
                : "no answer",
            isKept ? "kept" : "not kept");
        broken += promises.count(error) > 0 && isKept ? 1 : 0;
    }
    return conclude(broken > 0,
        std::to_string(broken) + " writes were committed though their clients were promised that nothing is kept");
}

// Callers that write through all daemons, one write after the other, and remember which succeeded.
class Writers {
public:
    Writers(Deployment& deployment, const std::string& database, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            threads_.emplace_back([this, &deployment, database, i] {
                write(deployment.daemons()[i % deployment.daemons().size()].ip, database);
            });
    }
    ~Writers() { stop(); }
    void stop()
    {
        isOver_ = true;
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
    }
    // The writes that have succeeded and are missing in the log of a server that was just promoted.
    int countMissing(const Server& server)
    {
        std::set<std::string> held;
        for (const LogEntry& entry : server.log())
            held.insert(entry.writes.begin(), entry.writes.end());
        const std::lock_guard<std::mutex> lock(mutex_);
        int missing = 0;
        for (const auto& [id, at] : acknowledged_) {
            if (held.count(id) > 0)
                continue;
            ++missing;
            record().line("LOST: write %s was acknowledged at %lld ms and is not in the log of %s", id.c_str(),
                static_cast<long long>(at), server.id().c_str());
        }
        record().line(
            "%s was promoted; %zu writes were acknowledged before", server.id().c_str(), acknowledged_.size());
        return missing;
    }

private:
    void write(const std::string& ip, const std::string& database)
    {
        Caller caller;
        while (!isOver_) {
            if (!caller.isConnected() && !caller.open(ip, Deployment::frontPort, database)) {
                caller.close();
                pause(100);
                continue;
            }
            const std::string id = newId();
            const auto answer = caller.query(id, "WRITE 1a4 " + id, 2000);
            if (!answer.isComplete) {
                caller.close();
                continue;
            }
            if (answer.error.empty()) {
                const std::lock_guard<std::mutex> lock(mutex_);
                acknowledged_[id] = record().now();
            }
            pause(answer.error.empty() ? 20 : 100);
        }
    }

    std::mutex mutex_;
    std::map<std::string, std::int64_t> acknowledged_;
    std::atomic<bool> isOver_ { false };
    std::vector<std::thread> threads_;
};

// A primary is released while another server of its service is replaced too, and the replica that takes over receives
// nothing for a while.
int handOverCase(Deployment& deployment)
{
    Group& group = deployment.addGroup("verkbok");
    group.promoteTime = Milliseconds(1000);
    deployment.addRoute({ "lepu270", "verkbok" });
    deployment.addDaemons(3);
    deployment.start();
    Writers writers(deployment, "lepu270", 6);
    int lost = 0;
    bool hasLed = false;
    const std::string address = deployment.reserveIp();
    deployment.promotions().onCall = [&](const Promotions::Call& call, const std::shared_ptr<Exchange>& exchange) {
        const int status = deployment.promotions().execute(call);
        exchange->respond(status, Json::object());
        if (hasLed || status != 200)
            return true;
        hasLed = true;
        Server& chosen = *group.find(call.id);
        deployment.after(50, [&chosen] {
            chosen.isDeaf = isTroubled();
            record().line("%s %s", chosen.id().c_str(), isTroubled() ? "receives nothing" : "receives all");
        });
        deployment.after(100, [&] {
            Server& added = group.add("i-verkbok9", "khomas-a", address, Deployment::serverPort);
            group.announce(added);
            record().line("%s starts and registers", added.id().c_str());
        });
        deployment.after(4000, [&chosen] { chosen.isDeaf = false; });
        return true;
    };
    group.onLead = [&](Server& server) { lost += writers.countMissing(server); };
    pause(2000);
    deployment.call([&] {
        group.leader().isLeaving = true;
        group.announce(group.leader());
        record().line("%s is draining", group.leader().id().c_str());
    });
    pause(7000);
    writers.stop();
    if (!hasLed)
        throw CannotRun("no promotion was ordered");
    return conclude(lost > 0, std::to_string(lost) + " acknowledged writes are not in the log of the promoted server");
}

// A primary is partitioned from one of three daemons; while that one replaces it, a paused replica restarts.
int restartCase(Deployment& deployment)
{
    Group& group = deployment.addGroup("verkbok");
    group.promoteTime = Milliseconds(1000);
    deployment.addRoute({ "lepu270", "verkbok" });
    deployment.addDaemons(3);
    deployment.hasSeparatePaths = true;
    deployment.start();
    Writers writers(deployment, "lepu270", 6);
    int lost = 0;
    bool hasLed = false;
    deployment.promotions().onCall = [&](const Promotions::Call& call, const std::shared_ptr<Exchange>& exchange) {
        const int status = deployment.promotions().execute(call);
        exchange->respond(status, Json::object());
        if (hasLed || status != 200)
            return true;
        hasLed = true;
        for (const auto& server : group.servers()) {
            if (server->leads() || server->id() == call.id)
                continue;
            deployment.after(100, [&server] { server->crash(); });
            deployment.after(600, [&server] { server->restart(); });
        }
        return true;
    };
    group.onLead = [&](Server& server) { lost += writers.countMissing(server); };
    pause(2000);
    Server& primary = group.leader();
    if (isTroubled()) {
        deployment.call([&] {
            primary.cutPaths.insert(1);
            record().line("%s is partitioned from %s", primary.id().c_str(), deployment.daemons()[0].name.c_str());
        });
    }
    pause(5000);
    deployment.call([&] {
        primary.cutPaths.clear();
        group.resumePaths();
    });
    pause(3000);
    writers.stop();
    if (isTroubled() && !hasLed)
        throw CannotRun("no promotion was ordered");
    return conclude(lost > 0, std::to_string(lost) + " acknowledged writes are not in the log of the promoted server");
}

// The machine whose daemon has just claimed the change of a released primary is removed for good; another comes.
int turnsCase(Deployment& deployment)
{
    constexpr std::int64_t leaseMs = 3000;
    Group& group = deployment.addGroup("lonja-core");
    group.maximumConnections = 21;
    deployment.addRoute({ "lepu270", "lonja-core" });
    deployment.addDaemons(8);
    deployment.start(1);
    struct Act {
        std::string holder;
        std::int64_t atMs;
    };
    std::vector<Act> acts;
    bool wasKilled = false;
    deployment.promotions().onCall = [&](const Promotions::Call& call, const std::shared_ptr<Exchange>& exchange) {
        const int status = deployment.promotions().execute(call);
        if (status == 200)
            acts.push_back({ call.holder, record().now() });
        exchange->respond(status, Json::object());
        return true;
    };
    deployment.store().onTransaction = [&](const Json& body) {
        for (const Json& put : body.value("puts", Json::array())) {
            const std::string key = put.at("key");
            if (key != "almondlever/claims/lonja-core")
                continue;
            const std::string holder = decodeBase64(put.at("value"));
            record().line("claimed by %s", holder.c_str());
            for (std::size_t i = 0; i + 1 < deployment.daemons().size() && !wasKilled && isTroubled(); ++i) {
                if (holder.rfind(deployment.daemons()[i].name + ' ', 0) != 0)
                    continue;
                wasKilled = true;
                deployment.signal(i, SIGKILL);
            }
        }
    };
    Caller caller;
    if (!caller.open(deployment.daemons()[0].ip, Deployment::frontPort, "lepu270"))
        throw CannotRun("no session");
    caller.query(newId(), "WRITE 1a4 first");
    pause(6000);
    deployment.call([&] {
        group.leader().isLeaving = true;
        group.announce(group.leader());
        record().line("%s is draining", group.leader().id().c_str());
    });
    // The new machine comes 4 s after the removal.
    pause(4200);
    if (isTroubled())
        deployment.startDaemon(7);
    pause(4000);
    bool isBroken = false;
    deployment.call([&] {
        for (std::size_t i = 2; i < acts.size(); ++i) {
            const bool isTurn = acts[i].holder == acts[i - 2].holder && acts[i].holder != acts[i - 1].holder;
            if (!isTurn || acts[i].atMs - acts[i - 2].atMs >= leaseMs)
                continue;
            isBroken = true;
            record().line("%s, %s and %s promoted in turn within %lld ms", acts[i - 2].holder.c_str(),
                acts[i - 1].holder.c_str(), acts[i].holder.c_str(),
                static_cast<long long>(acts[i].atMs - acts[i - 2].atMs));
        }
    });
    if (acts.empty())
        throw CannotRun("no promotion was ordered");
    return conclude(isBroken,
        "two holders in turn within " + std::to_string(leaseMs) + " ms: " + (isBroken ? "yes" : "no")
            + ", promotions ordered: " + std::to_string(acts.size()));
}

int run(const std::string& name, const std::string& program, const std::string& file)
{
    record().open(file);
    const std::map<std::string, int (*)(Deployment&)> cases { { "values", valuesCase }, { "smuggle", smuggleCase },
        { "truncated", truncatedCase }, { "handover", handOverCase }, { "turns", turnsCase },
        { "restart", restartCase }, { "promise", promiseCase } };
    const auto found = cases.find(name);
    if (found == cases.end())
        return 2;
    try {
        record().line("case %s, %s", name.c_str(), isTroubled() ? "with the disruption" : "without the disruption");
        Deployment deployment(program);
        return found->second(deployment);
    } catch (const std::exception& problem) {
        record().line("could not run: %s", problem.what());
        std::cout << "could not run: " << problem.what() << '\n';
        return 2;
    }
}

} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    return review::run(argv[1], argv[2], argv[3]);
}
