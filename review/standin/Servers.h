// Stand-ins for the servers of a service (PROTOCOL.md, "Servers") and for POST /promotion.
#pragma once

#include "Platform.h"

#include <optional>

namespace review {

struct Position {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::string text() const { return std::to_string(term) + '.' + std::to_string(number); }
    friend bool operator<(const Position& a, const Position& b)
    {
        return a.term != b.term ? a.term < b.term : a.number < b.number;
    }
};

struct LogEntry {
    Position position;
    // Ids of the statements that wrote it.
    std::vector<std::string> writes;
    SteadyClock::time_point at;
};

// What ran on a server; the checks of the cases read it.
struct Run {
    std::string id;
    std::string text;
    std::string server;
    std::int64_t atMs = 0;
};

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::string takeWord(std::string& text)
{
    const std::size_t end = text.find(' ');
    const std::string word = text.substr(0, end);
    text = end == std::string::npos ? "" : text.substr(end + 1);
    return word;
}

class Group;
class Server;

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(Server& server, tcp::socket socket, int path)
        : path(path)
        , server_(&server)
        , socket_(std::move(socket))
        , timer_(socket_.get_executor())
    {
    }
    void start() { read(); }
    void close();

    // Number of the daemon whose path it came by.
    const int path;

private:
    friend class Group;
    friend class Server;
    void read();
    void next();
    void handle(std::string line);
    void work(std::function<void()> then);
    void reply(const std::vector<std::string>& rows, const std::string& signature);
    void fail(const std::string& error);
    void refuse(const std::string& error);
    void ready();
    void send(const std::string& text);
    bool hasLostLead() const;

    Server* server_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, 16384> chunk_ {};
    std::string input_;
    std::deque<std::string> lines_;
    std::string output_;
    std::string sending_;
    bool isBusy_ = false;
    bool isOpen_ = false;
    bool isClosed_ = false;
    char state_ = 'I';
    bool isReadOnly_ = false;
    std::uint64_t term_ = 0;
    std::vector<std::string> writes_;
    std::map<std::string, std::string> values_;
    std::map<std::string, std::pair<bool, std::string>> prepared_;
};

class Server {
public:
    Server(Group& group, std::string id, std::string zone, const std::string& ip, std::uint16_t port);
    const std::string& id() const { return id_; }
    bool leads() const;
    Position received() const { return log_.empty() ? Position {} : log_.back().position; }
    const std::vector<LogEntry>& log() const { return log_; }

    Group& group;
    std::string zone;
    std::string address;
    // Set by cases.
    Milliseconds work { 10 };
    bool isLeaving = false;
    // Receives nothing of the log for a while.
    bool isDeaf = false;
    // Answers of commits and of single writes to lose: they run, and the connection ends without the answer.
    int answersToLose = 0;
    // Paths that are cut: nothing that comes by them arrives, and nothing is answered.
    std::set<int> cutPaths;
    void addPath(const std::string& ip, int path);
    // All connections end, and the server refuses new ones until restart().
    void crash();
    void restart();
    bool isUp = true;
    // Rows of the answer to a read of this item.
    std::map<std::string, std::vector<std::string>> rowsOf;

private:
    friend class Group;
    friend class ServerConnection;
    void accept(tcp::acceptor&, int path);

    std::string id_;
    std::uint16_t port_;
    std::deque<tcp::acceptor> acceptors_;
    std::set<std::shared_ptr<ServerConnection>> connections_;
    std::vector<LogEntry> log_;
    std::uint64_t heldTerm_ = 0;
    std::int64_t born_ = unixMilliseconds();
    std::uint64_t sequence_ = 0;
};

// The servers of one service, their replication, and its primary.
class Group {
public:
    Group(asio::io_context& context, Store& store, std::string name)
        : name_(std::move(name))
        , context_(context)
        , store_(store)
        , timer_(context)
    {
    }

    Server& add(const std::string& id, const std::string& zone, const std::string& ip, std::uint16_t port)
    {
        servers_.push_back(std::make_unique<Server>(*this, id, zone, ip, port));
        if (leader_.empty())
            leader_ = id;
        return *servers_.back();
    }
    void start()
    {
        heartbeat();
        tick();
    }
    Server* find(const std::string& id)
    {
        for (const auto& server : servers_) {
            if (server->id() == id)
                return server.get();
        }
        return nullptr;
    }
    // Lets go what was held back on paths that are cut no more.
    void resumePaths()
    {
        for (const auto& server : servers_) {
            const auto connections = server->connections_;
            for (const auto& connection : connections) {
                connection->send("");
                connection->next();
            }
        }
    }
    Server& leader() { return *find(leader_); }
    const std::string& name() const { return name_; }
    std::uint64_t term() const { return term_; }
    const std::vector<std::unique_ptr<Server>>& servers() const { return servers_; }

    // The server leads after promoteTime with what it has received by then.
    void promote(const std::string& id)
    {
        auto timer = std::make_shared<asio::steady_timer>(context_, promoteTime);
        timer->async_wait([this, id, timer](std::error_code) { takeLead(id); });
    }

    std::function<void(Server&)> onLead;
    std::vector<Run>& runs() { return runs_; }
    std::vector<std::string>& commits() { return commits_; }
    Milliseconds promoteTime { 300 };
    std::size_t maximumConnections = 34;
    std::size_t synchronousReplicas = 1;
    Milliseconds heartbeatInterval { 1200 };

    std::string nextSignature() { return "sig." + name_ + '.' + std::to_string(++signatures_); }

private:
    friend class Server;
    friend class ServerConnection;

    struct Waiting {
        Position position;
        std::function<void(bool)> done;
    };

    void heartbeat()
    {
        for (const auto& server : servers_) {
            if (server->isUp)
                announce(*server);
        }
        auto timer = std::make_shared<asio::steady_timer>(context_, heartbeatInterval);
        timer->async_wait([this, timer](std::error_code) { heartbeat(); });
    }

public:
    void announce(Server& server)
    {
        const Json entry = { { "service", name_ }, { "address", server.address }, { "zone", server.zone },
            { "version", "1" }, { "slots", 5 }, { "phase", server.isLeaving ? "draining" : "ready" },
            { "cold-remaining-ms", 0 }, { "sequence", ++server.sequence_ }, { "born", server.born_ },
            { "db-role", server.leads() ? "primary" : "replica" } };
        store_.put("servers/" + server.id(), entry.dump());
    }

private:
    void takeLead(const std::string& id)
    {
        Server* server = find(id);
        if (!server || leader_ == id)
            return;
        ++term_;
        leader_ = id;
        server->heldTerm_ = 0;
        record().line("%s leads term %llu with position %s", id.c_str(), static_cast<unsigned long long>(term_),
            server->received().text().c_str());
        const auto waiting = std::move(waiting_);
        waiting_.clear();
        for (const Waiting& commit : waiting)
            commit.done(false);
        for (const auto& other : servers_) {
            other->heldTerm_ = 0;
            std::size_t common = std::min(other->log_.size(), server->log_.size());
            while (common > 0 && other->log_[common - 1].position < server->log_[common - 1].position)
                --common;
            other->log_.resize(common);
            announce(*other);
        }
        if (onLead)
            onLead(*server);
    }

    void commit(std::vector<std::string> writes, std::function<void(bool)> done)
    {
        Server& server = leader();
        for (const std::string& write : writes)
            commits_.push_back(write);
        const Position position { term_, server.received().number + 1 };
        server.log_.push_back({ position, std::move(writes), SteadyClock::now() });
        waiting_.push_back({ position, std::move(done) });
    }

    // Replicas receive an entry some milliseconds after it was written; a paused one receives nothing.
    void tick()
    {
        constexpr Milliseconds oneWay { 2 };
        const auto now = SteadyClock::now();
        Server& server = leader();
        std::vector<std::size_t> received;
        for (const auto& other : servers_) {
            if (other.get() == &server)
                continue;
            while (other->isUp && other->heldTerm_ == 0 && !other->isDeaf && other->log_.size() < server.log_.size()
                && server.log_[other->log_.size()].at + oneWay <= now)
                other->log_.push_back(server.log_[other->log_.size()]);
            received.push_back(other->log_.size());
        }
        std::sort(received.rbegin(), received.rend());
        const std::size_t safe = synchronousReplicas == 0 ? server.log_.size()
            : received.size() >= synchronousReplicas      ? received[synchronousReplicas - 1]
                                                          : 0;
        while (!waiting_.empty() && waiting_.front().position.number <= safe) {
            const auto done = std::move(waiting_.front().done);
            waiting_.pop_front();
            done(true);
        }
        timer_.expires_after(Milliseconds(1));
        timer_.async_wait([this](std::error_code error) {
            if (!error)
                tick();
        });
    }

    std::string name_;
    asio::io_context& context_;
    Store& store_;
    asio::steady_timer timer_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::string leader_;
    std::uint64_t term_ = 1;
    std::uint64_t signatures_ = 0;
    std::deque<Waiting> waiting_;
    std::vector<Run> runs_;
    std::vector<std::string> commits_;
};

inline Server::Server(Group& owner, std::string id, std::string zoneName, const std::string& ip, std::uint16_t port)
    : group(owner)
    , zone(std::move(zoneName))
    , address(ip + ':' + std::to_string(port))
    , id_(std::move(id))
    , port_(port)
{
    addPath(ip, 0);
}

inline void Server::addPath(const std::string& ip, int path)
{
    acceptors_.emplace_back(group.context_, tcp::endpoint(asio::ip::make_address(ip), port_));
    accept(acceptors_.back(), path);
}

inline void Server::crash()
{
    isUp = false;
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->close();
    heldTerm_ = 0;
    record().line("%s crashes", id_.c_str());
}

// A server that starts again under its id knows nothing of before; a replica gets the log of the primary again.
inline void Server::restart()
{
    isUp = true;
    log_.clear();
    born_ = unixMilliseconds();
    sequence_ = 0;
    group.announce(*this);
    record().line("%s is back", id_.c_str());
}

inline bool Server::leads() const { return group.leader_ == id_; }

inline void Server::accept(tcp::acceptor& acceptor, int path)
{
    acceptor.async_accept([this, &acceptor, path](std::error_code error, tcp::socket socket) {
        if (error)
            return;
        std::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<ServerConnection>(*this, std::move(socket), path);
        if (isUp) {
            connections_.insert(connection);
            connection->start();
        }
        accept(acceptor, path);
    });
}

inline void ServerConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    timer_.cancel();
    std::error_code ignored;
    socket_.close(ignored);
    server_->connections_.erase(shared_from_this());
}

inline void ServerConnection::read()
{
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](std::error_code error, std::size_t n) {
        if (error)
            return self->close();
        self->input_.append(self->chunk_.data(), n);
        // A line ends with CR LF; a lone LF or CR is part of its last field.
        std::size_t from = 0;
        for (std::size_t end = self->input_.find("\r\n"); end != std::string::npos;
             end = self->input_.find("\r\n", from)) {
            self->lines_.push_back(self->input_.substr(from, end - from));
            from = end + 2;
        }
        self->input_.erase(0, from);
        self->next();
        if (!self->isClosed_)
            self->read();
    });
}

inline void ServerConnection::next()
{
    // What arrives over a cut path is held back, as by a network that drops it.
    while (!isBusy_ && !isClosed_ && !lines_.empty() && server_->cutPaths.count(path) == 0) {
        const std::string line = std::move(lines_.front());
        lines_.pop_front();
        handle(line);
    }
}

inline bool ServerConnection::hasLostLead() const
{
    return state_ == 'T' && !isReadOnly_ && (!server_->leads() || server_->group.term() != term_);
}

inline void ServerConnection::handle(std::string line)
{
    Group& group = server_->group;
    const std::string word = takeWord(line);
    if (word == "STARTUP") {
        const std::string service = takeWord(line);
        takeWord(line);
        if (service != group.name() || (!line.empty() && line != server_->id())) {
            return refuse("MISROUTED " + server_->id());
        }
        if (server_->connections_.size() > group.maximumConnections) {
            return refuse("TOOMANY -");
        }
        isOpen_ = true;
        return ready();
    }
    if (word == "TERMINATE" || word != "QUERY" || !isOpen_)
        return close();
    const std::string id = takeWord(line);
    const std::string text = line;
    std::string verb = takeWord(line);
    if (hasLostLead() && verb != "ROLLBACK" && !(verb == "COMMIT" && writes_.empty()))
        return fail("READONLY " + server_->id());
    if (state_ == 'E' && verb != "ROLLBACK" && verb != "COMMIT")
        return fail("MALFORMED the transaction has failed");
    std::string ran = text;
    if (verb == "AFTER") {
        const std::string position = takeWord(line);
        const Position needed { std::stoull(position), std::stoull(position.substr(position.find('.') + 1)) };
        if (server_->received() < needed)
            return fail("LAGGING " + server_->received().text());
        ran = line;
        verb = takeWord(line);
    }
    if (verb == "BEGIN") {
        isReadOnly_ = line == "READ";
        if (!isReadOnly_ && !server_->leads())
            return fail("READONLY " + server_->id());
        state_ = 'T';
        term_ = group.term();
        writes_.clear();
        return reply({}, "-");
    }
    if (verb == "ROLLBACK") {
        state_ = 'I';
        writes_.clear();
        return reply({}, "-");
    }
    if (verb == "SET") {
        const std::string name = takeWord(line);
        values_[name] = line;
        return reply({}, "-");
    }
    if (verb == "RESET") {
        values_.clear();
        prepared_.clear();
        return reply({}, "-");
    }
    if (verb == "PREPARE") {
        const std::string name = takeWord(line);
        const bool isWrite = takeWord(line) == "WRITE";
        prepared_[name] = { isWrite, line };
        return reply({}, "-");
    }
    if (verb == "DEALLOC") {
        prepared_.erase(line);
        return reply({}, "-");
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME") {
        const std::uint64_t term = std::stoull("0" + line);
        if (verb == "PAUSE" && term > group.term() && !server_->leads())
            server_->heldTerm_ = std::max(server_->heldTerm_, term);
        if (verb == "RESUME")
            server_->heldTerm_ = 0;
        if (verb != "STATUS")
            record().line("%s: %s %s", server_->id().c_str(), verb.c_str(), line.c_str());
        return reply({ std::string(server_->leads() ? "primary " : "replica ") + std::to_string(group.term()) + ' '
                         + server_->received().text() + ' ' + std::to_string(server_->heldTerm_) + " 2 0 "
                         + std::to_string(server_->connections_.size()) },
            "-");
    }
    if (verb == "COMMIT") {
        if (state_ != 'T') {
            const bool hasFailed = state_ == 'E';
            state_ = 'I';
            return fail(hasFailed ? "ABORTED rolled back" : "MALFORMED no transaction");
        }
        return work([this, id] {
            Group& owner = server_->group;
            if (hasLostLead() && !writes_.empty()) {
                state_ = 'I';
                return fail("READONLY " + server_->id());
            }
            owner.runs_.push_back({ id, "COMMIT", server_->id(), record().now() });
            state_ = 'I';
            const std::vector<std::string> writes = std::move(writes_);
            writes_.clear();
            const std::string signature = owner.nextSignature();
            if (writes.empty())
                return reply({}, signature);
            owner.commit(writes, [self = shared_from_this(), signature](bool isSafe) {
                if (self->isClosed_)
                    return;
                if (!isSafe || self->server_->answersToLose > 0) {
                    if (isSafe)
                        --self->server_->answersToLose;
                    record().line("the answer of %s to a commit is lost", self->server_->id().c_str());
                    return self->close();
                }
                self->reply({}, signature);
            });
        });
    }
    const bool isExecute = verb == "EXECUTE";
    std::string shape;
    bool isWrite = verb == "WRITE";
    if (isExecute) {
        const auto found = prepared_.find(takeWord(line));
        if (found == prepared_.end())
            return fail("NOSTMT -");
        isWrite = found->second.first;
        shape = found->second.second;
    }
    if (!isExecute && verb != "READ" && verb != "WRITE")
        return fail("MALFORMED not a statement");
    if (isWrite && (!server_->leads() || (state_ == 'T' && isReadOnly_)))
        return fail("READONLY " + server_->id());
    if (isExecute)
        ran = "EXECUTE " + shape + ' ' + line;
    const std::string item = takeWord(line);
    work([this, id, ran, isWrite, item] {
        Group& owner = server_->group;
        if (hasLostLead() || (isWrite && !server_->leads()))
            return fail("READONLY " + server_->id());
        owner.runs_.push_back({ id, ran, server_->id(), record().now() });
        const std::string signature = owner.nextSignature();
        const auto rows = server_->rowsOf.find(item);
        const std::vector<std::string> answer = isWrite ? std::vector<std::string> {}
            : rows == server_->rowsOf.end()             ? std::vector<std::string> { "row-of-" + id }
                                                        : rows->second;
        if (!isWrite)
            return reply(answer, signature);
        if (state_ == 'T') {
            writes_.push_back(id);
            return reply({}, signature);
        }
        owner.commit({ id }, [self = shared_from_this(), signature](bool isSafe) {
            if (self->isClosed_)
                return;
            if (!isSafe)
                return self->close();
            self->reply({}, signature);
        });
    });
}

inline void ServerConnection::work(std::function<void()> then)
{
    isBusy_ = true;
    timer_.expires_after(server_->work);
    timer_.async_wait([self = shared_from_this(), then = std::move(then)](std::error_code error) {
        if (!error && !self->isClosed_)
            then();
    });
}

inline void ServerConnection::reply(const std::vector<std::string>& rows, const std::string& signature)
{
    std::string text;
    for (const std::string& row : rows)
        text += "DATAROW " + row + "\r\n";
    send(text + "COMPLETE " + signature + "\r\n");
    ready();
}

inline void ServerConnection::fail(const std::string& error)
{
    if (state_ == 'T')
        state_ = 'E';
    send("ERROR " + error + "\r\n");
    ready();
}

inline void ServerConnection::refuse(const std::string& error)
{
    std::error_code ignored;
    asio::write(socket_, asio::buffer("ERROR " + error + "\r\n"), ignored);
    close();
}

inline void ServerConnection::ready()
{
    // A log without an entry has no position.
    send(std::string("READY ") + state_ + ' ' + (server_->log_.empty() ? "-" : server_->received().text()) + "\r\n");
    isBusy_ = false;
    next();
}

inline void ServerConnection::send(const std::string& text)
{
    if (isClosed_)
        return;
    output_ += text;
    if (!sending_.empty() || output_.empty() || server_->cutPaths.count(path) > 0)
        return;
    sending_.swap(output_);
    asio::async_write(socket_, asio::buffer(sending_), [self = shared_from_this()](std::error_code error, std::size_t) {
        self->sending_.clear();
        if (error)
            return self->close();
        if (!self->output_.empty())
            self->send("");
    });
}

// POST /promotion with its fence (PROTOCOL.md, "Singleton duties").
class Promotions {
public:
    explicit Promotions(std::map<std::string, Group*> groups)
        : groups_(std::move(groups))
    {
    }

    struct Call {
        std::string service;
        std::string id;
        std::string holder;
        std::uint64_t fence = 0;
    };

    // Returns true if the call is taken away from handle(): it gets no answer from there.
    std::function<bool(const Call&, const std::shared_ptr<Exchange>&)> onCall;

    void handle(const std::shared_ptr<Exchange>& exchange)
    {
        const Json body = Json::parse(exchange->body, nullptr, false);
        if (exchange->method != "POST" || exchange->path != "/promotion" || body.is_discarded())
            return exchange->respond(404, Json::object());
        Call call { body.at("service").get<std::string>(), body.at("id").get<std::string>(),
            exchange->headers["X-Duty-Holder"], std::stoull("0" + exchange->headers["X-Fence-Token"]) };
        if (onCall && onCall(call, exchange))
            return;
        exchange->respond(execute(call), Json::object());
    }

    int execute(const Call& call)
    {
        std::uint64_t& newest = fences_[call.service];
        const auto group = groups_.find(call.service);
        const bool isKnown = group != groups_.end() && group->second->find(call.id);
        const int status = call.fence < newest || !isKnown ? 409 : 200;
        record().line("POST /promotion of %s by %s with fence %llu: %d", call.id.c_str(), call.holder.c_str(),
            static_cast<unsigned long long>(call.fence), status);
        if (status != 200)
            return status;
        newest = call.fence;
        if (!group->second->find(call.id)->leads())
            group->second->promote(call.id);
        return status;
    }

private:
    std::map<std::string, Group*> groups_;
    std::map<std::string, std::uint64_t> fences_;
};

} // namespace review
