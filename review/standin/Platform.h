// Stand-ins for the platform's store and its promotion call, and a small HTTP server for them.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;
using tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Writes lines with the time since the start of the case to record.txt; used by all threads.
class Record {
public:
    void open(const std::string& path)
    {
        file_ = std::fopen(path.c_str(), "w");
        start_ = SteadyClock::now();
    }
    std::int64_t now() const { return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - start_).count(); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[700];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!file_)
            return;
        std::fprintf(file_, "%7lld ms  %s\n", static_cast<long long>(now()), text);
        std::fflush(file_);
    }

private:
    std::FILE* file_ = nullptr;
    SteadyClock::time_point start_ = SteadyClock::now();
    std::mutex mutex_;
};

inline Record& record()
{
    static Record instance;
    return instance;
}

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t word = 0;
        for (std::size_t i = 0; i < 3; ++i)
            word = word << 8U | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text += at + i <= bytes.size() ? digits[word >> (18 - 6 * i) & 63U] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string& text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t word = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t value = digits.find(c);
        if (value == std::string::npos)
            break;
        word = word << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(word >> bits & 255U);
        }
    }
    return bytes;
}

// One HTTP request; may be answered later.
struct Exchange {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    // Number of the daemon whose platform address was called.
    int reader = 0;
    std::function<void(int status, const Json&)> respond;
    std::function<void()> drop;
};

using HttpHandler = std::function<void(const std::shared_ptr<Exchange>&)>;

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(tcp::socket socket, HttpHandler handler)
        : socket_(std::move(socket))
        , handler_(std::move(handler))
    {
    }
    void start() { read(); }

private:
    void read()
    {
        socket_.async_read_some(
            asio::buffer(chunk_), [self = shared_from_this()](std::error_code error, std::size_t n) {
                if (error)
                    return;
                self->input_.append(self->chunk_.data(), n);
                self->parse();
            });
    }

    void parse()
    {
        if (isBusy_)
            return;
        const std::size_t end = input_.find("\r\n\r\n");
        if (end == std::string::npos)
            return read();
        auto exchange = std::make_shared<Exchange>();
        std::size_t line = input_.find("\r\n");
        const std::string first = input_.substr(0, line);
        const std::size_t blank = first.find(' ');
        const std::size_t second = first.find(' ', blank + 1);
        exchange->method = first.substr(0, blank);
        parseTarget(first.substr(blank + 1, second - blank - 1), *exchange);
        while (line < end) {
            const std::size_t next = input_.find("\r\n", line + 2);
            const std::string field = input_.substr(line + 2, next - line - 2);
            const std::size_t colon = field.find(": ");
            if (colon != std::string::npos)
                exchange->headers[field.substr(0, colon)] = field.substr(colon + 2);
            line = next;
        }
        const auto length = exchange->headers.find("Content-Length");
        const std::size_t size = length == exchange->headers.end() ? 0 : std::stoul(length->second);
        if (input_.size() < end + 4 + size)
            return read();
        exchange->body = input_.substr(end + 4, size);
        input_.erase(0, end + 4 + size);
        isBusy_ = true;
        const auto self = shared_from_this();
        exchange->respond = [self](int status, const Json& body) { self->respond(status, body); };
        exchange->drop = [self] {
            std::error_code ignored;
            self->socket_.close(ignored);
        };
        handler_(exchange);
    }

    void respond(int status, const Json& body)
    {
        const std::string text = body.dump();
        auto output = std::make_shared<std::string>("HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n"
            + text);
        asio::async_write(
            socket_, asio::buffer(*output), [self = shared_from_this(), output](std::error_code error, std::size_t) {
                self->isBusy_ = false;
                if (!error)
                    self->parse();
            });
    }

    static std::string decode(const std::string& text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }

    static void parseTarget(const std::string& target, Exchange& exchange)
    {
        const std::size_t mark = target.find('?');
        exchange.path = target.substr(0, mark);
        if (mark == std::string::npos)
            return;
        std::string rest = target.substr(mark + 1);
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string pair = rest.substr(0, end);
            const std::size_t equal = pair.find('=');
            if (equal != std::string::npos)
                exchange.query[pair.substr(0, equal)] = decode(pair.substr(equal + 1));
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
        }
    }

    tcp::socket socket_;
    HttpHandler handler_;
    std::array<char, 16384> chunk_ {};
    std::string input_;
    bool isBusy_ = false;
};

class HttpServer {
public:
    HttpServer(asio::io_context& context, const std::string& ip, std::uint16_t port, HttpHandler handler)
        : acceptor_(context, tcp::endpoint(asio::ip::make_address(ip), port))
        , handler_(std::move(handler))
    {
        accept();
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
            if (error)
                return;
            std::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<HttpConnection>(std::move(socket), handler_)->start();
            accept();
        });
    }

    tcp::acceptor acceptor_;
    HttpHandler handler_;
};

// The platform's store (PROTOCOL.md, "The platform's metadata store"): ranges, watches, transactions, leases.
class Store {
public:
    explicit Store(asio::io_context& context)
        : timer_(context)
    {
        tick();
    }

    void put(const std::string& key, const std::string& value)
    {
        write(key, encodeBase64(value), 0, ++revision_), wake();
    }
    void remove(const std::string& key)
    {
        if (items_.count(key) == 0)
            return;
        erase(key, ++revision_);
        wake();
    }
    bool has(const std::string& key) const { return items_.count(key) > 0; }

    // Rewrites a value for the daemon that asks, so that each daemon can have a network path of its own to a server.
    std::function<std::string(const std::string& key, const std::string& base64, int reader)> rewrite;

    // Called after each transaction that was done; for scenarios that act on a claim.
    std::function<void(const Json& body)> onTransaction;

    void handle(const std::shared_ptr<Exchange>& exchange, int reader = 0)
    {
        exchange->reader = reader;
        const std::string& path = exchange->path;
        if (path == "/-/kv-range")
            return range(*exchange);
        if (path == "/-/kv-key")
            return get(*exchange);
        if (path == "/-/kv-watch")
            return watch(exchange);
        if (path == "/-/kv-txn")
            return transact(*exchange);
        if (path == "/-/kv-lease")
            return grant(*exchange);
        if (path.rfind("/-/kv-keep/", 0) == 0)
            return keep(*exchange, std::stoull(path.substr(11)));
        if (path.rfind("/-/kv-lease-end/", 0) == 0)
            return end(*exchange, std::stoull(path.substr(16)));
        exchange->respond(404, Json::object());
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::uint64_t revision;
        std::string key;
        Json json;
    };
    struct Watch {
        std::shared_ptr<Exchange> exchange;
        std::string prefix;
        std::uint64_t after;
        SteadyClock::time_point until;
    };
    struct Lease {
        Milliseconds ttl;
        SteadyClock::time_point endsAt;
        std::set<std::string> keys;
    };

    Json view(Json item, const Exchange& exchange) const
    {
        if (rewrite && item.contains("value"))
            item["value"] = rewrite(item["key"], item["value"], exchange.reader);
        return item;
    }

    static Json describe(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created },
            { "lease", item.lease } };
    }

    void write(const std::string& key, const std::string& base64, std::uint64_t lease, std::uint64_t revision)
    {
        Item& item = items_[key];
        if (item.created == 0)
            item.created = revision;
        if (const auto former = leases_.find(item.lease); former != leases_.end())
            former->second.keys.erase(key);
        item.value = base64;
        item.revision = revision;
        item.lease = lease;
        if (const auto held = leases_.find(lease); held != leases_.end())
            held->second.keys.insert(key);
        history_.push_back({ revision, key, describe(key, item) });
    }

    void erase(const std::string& key, std::uint64_t revision)
    {
        if (items_.erase(key) > 0)
            history_.push_back({ revision, key, { { "key", key }, { "revision", revision }, { "deleted", true } } });
    }

    void range(Exchange& exchange)
    {
        constexpr std::size_t pageItems = 500;
        const std::string prefix = exchange.query["prefix"];
        const std::string after = exchange.query["after"];
        Json items = Json::array();
        bool isTruncated = false;
        for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (!after.empty() && it->first <= after)
                continue;
            if (items.size() >= pageItems) {
                isTruncated = true;
                break;
            }
            items.push_back(view(describe(it->first, it->second), exchange));
        }
        exchange.respond(200, { { "items", items }, { "truncated", isTruncated }, { "as-of", revision_ } });
    }

    void get(Exchange& exchange)
    {
        const auto found = items_.find(exchange.query["key"]);
        if (found == items_.end())
            return exchange.respond(404, Json::object());
        Json body = view(describe(found->first, found->second), exchange);
        body["as-of"] = revision_;
        exchange.respond(200, body);
    }

    void watch(const std::shared_ptr<Exchange>& exchange)
    {
        const Watch watch { exchange, exchange->query["prefix"], std::stoull("0" + exchange->query["after"]),
            SteadyClock::now() + Milliseconds(std::stoll("0" + exchange->query["wait-ms"])) };
        if (!answer(watch, false))
            watches_.push_back(watch);
    }

    bool answer(const Watch& watch, bool isDue)
    {
        Json events = Json::array();
        for (const Event& event : history_) {
            if (event.revision > watch.after && event.key.rfind(watch.prefix, 0) == 0)
                events.push_back(view(event.json, *watch.exchange));
        }
        if (events.empty() && !isDue)
            return false;
        watch.exchange->respond(200, { { "events", events }, { "as-of", revision_ } });
        return true;
    }

    void wake()
    {
        for (auto it = watches_.begin(); it != watches_.end();)
            it = answer(*it, false) ? watches_.erase(it) : std::next(it);
    }

    void transact(Exchange& exchange)
    {
        const Json body = Json::parse(exchange.body);
        Json present = Json::array();
        bool holds = true;
        for (const Json& row : body.value("expected-revision", Json::array())) {
            const auto item = items_.find(row.at("key").get<std::string>());
            const std::uint64_t actual = item == items_.end() ? 0 : item->second.revision;
            holds = holds && actual == row.at("revision").get<std::uint64_t>();
            if (item != items_.end())
                present.push_back(describe(item->first, item->second));
        }
        if (!holds)
            return exchange.respond(412, { { "items", present } });
        for (const Json& put : body.value("puts", Json::array())) {
            const auto lease = put.value("lease", std::uint64_t { 0 });
            if (lease != 0 && leases_.count(lease) == 0)
                return exchange.respond(404, Json::object());
        }
        ++revision_;
        for (const Json& put : body.value("puts", Json::array()))
            write(put.at("key").get<std::string>(), put.at("value").get<std::string>(),
                put.value("lease", std::uint64_t { 0 }), revision_);
        for (const Json& key : body.value("deletes", Json::array()))
            erase(key.get<std::string>(), revision_);
        exchange.respond(200, { { "revision", revision_ } });
        wake();
        if (onTransaction)
            onTransaction(body);
    }

    void grant(Exchange& exchange)
    {
        const Milliseconds ttl(Json::parse(exchange.body).at("ttl-ms").get<std::int64_t>());
        leases_[++lastLease_] = { ttl, SteadyClock::now() + ttl, {} };
        exchange.respond(200, { { "lease", lastLease_ }, { "ttl-ms", ttl.count() } });
    }

    void keep(Exchange& exchange, std::uint64_t number)
    {
        const auto lease = leases_.find(number);
        if (lease == leases_.end())
            return exchange.respond(404, Json::object());
        lease->second.endsAt = SteadyClock::now() + lease->second.ttl;
        exchange.respond(200, { { "ttl-ms", lease->second.ttl.count() } });
    }

    void end(Exchange& exchange, std::uint64_t number)
    {
        endLease(number);
        exchange.respond(200, Json::object());
    }

    void endLease(std::uint64_t number)
    {
        const auto lease = leases_.find(number);
        if (lease == leases_.end())
            return;
        const std::set<std::string> keys = lease->second.keys;
        leases_.erase(lease);
        for (const std::string& key : keys)
            remove(key);
    }

    void tick()
    {
        const auto now = SteadyClock::now();
        std::vector<std::uint64_t> ended;
        for (const auto& [number, lease] : leases_) {
            if (lease.endsAt <= now)
                ended.push_back(number);
        }
        for (const std::uint64_t number : ended)
            endLease(number);
        for (auto it = watches_.begin(); it != watches_.end();)
            it = answer(*it, now >= it->until) ? watches_.erase(it) : std::next(it);
        timer_.expires_after(Milliseconds(10));
        timer_.async_wait([this](std::error_code error) {
            if (!error)
                tick();
        });
    }

    asio::steady_timer timer_;
    std::map<std::string, Item> items_;
    std::deque<Event> history_;
    std::vector<Watch> watches_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1000;
    std::uint64_t lastLease_ = 0;
};

} // namespace review
