#include "StandinStore.h"

#include "platform/Base64.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace almondlever::soak {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusGone = 410;
    constexpr unsigned statusConflict = 412;
    constexpr unsigned statusBusy = 503;

    /** Copies are taken this often and kept this long. */
    constexpr Milliseconds copyInterval { 250 };
    constexpr Milliseconds copyLife { 8000 };

    bool hasPrefix(const std::string& key, const std::string& prefix) { return key.rfind(prefix, 0) == 0; }

    std::uint64_t numberIn(HttpExchange& exchange, const std::string& name)
    {
        const std::string text = exchange.query(name);
        return text.empty() ? 0 : std::stoull(text);
    }

} // namespace

StandinStore::StandinStore(asio::io_context& context, std::uint64_t seed)
    : context_(context)
    , random_(seed)
{
}

std::uint16_t StandinStore::start()
{
    server_ = makeHttpServer(context_, HttpServerSettings {}, [this](const auto& exchange) { handle(exchange); });
    const auto started = server_->start();
    return started ? started.value().port : 0;
}

void StandinStore::put(const std::string& key, const std::string& value)
{
    store(key, value, 0, ++revision_);
    wakeWatches();
}

void StandinStore::remove(const std::string& key)
{
    if (items_.count(key) == 0)
        return;
    erase(key, ++revision_);
    wakeWatches();
}

void StandinStore::dropHistory()
{
    history_.clear();
    historyFrom_ = revision_;
    for (const Watch& watch : watches_)
        answer(*watch.exchange, statusGone, Json::object());
    watches_.clear();
}

void StandinStore::answer(HttpExchange& exchange, unsigned status, const Json& body) const
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("Store-Era", std::to_string(era_));
    response.body = body.dump();
    exchange.respond(response);
}

void StandinStore::takeCopy(TimePoint now)
{
    if (!copies_.empty() && now - copies_.back().takenAt < copyInterval)
        return;
    copies_.push_back({ now, items_, revision_, lastLease_ });
    while (now - copies_.front().takenAt > copyLife)
        copies_.pop_front();
}

void StandinStore::restore(Duration age, TimePoint now)
{
    if (copies_.empty())
        return;
    auto copy = std::find_if(
        copies_.rbegin(), copies_.rend(), [&](const Copy& candidate) { return now - candidate.takenAt >= age; });
    if (copy == copies_.rend())
        --copy;
    items_.clear();
    for (const auto& [key, item] : copy->items) {
        if (item.lease == 0)
            items_[key] = item;
    }
    revision_ = copy->revision;
    lastLease_ = copy->lastLease;
    leases_.clear();
    copies_.clear();
    ++era_;
    dropHistory();
}

std::vector<std::string> StandinStore::keysOf(const std::string& prefix) const
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (hasPrefix(key, prefix))
            keys.push_back(key);
    }
    return keys;
}

void StandinStore::tick(TimePoint now)
{
    takeCopy(now);
    const Duration passed = ticked_ == TimePoint {} ? Duration(0) : now - ticked_;
    ticked_ = now;
    std::set<std::string> ended;
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (faults_.isBusy && !faults_.leasesLapse)
            it->second.endsAt += passed;
        if (it->second.endsAt > now) {
            ++it;
            continue;
        }
        ended.insert(it->second.keys.begin(), it->second.keys.end());
        it = leases_.erase(it);
    }
    for (const std::string& key : ended)
        remove(key);
    for (auto it = watches_.begin(); it != watches_.end();)
        it = answerWatch(*it, now >= it->until) ? watches_.erase(it) : std::next(it);
}

void StandinStore::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    ++calls_;
    if (faults_.isBusy)
        return answer(*exchange, statusBusy, Json::object());
    const std::string& path = exchange->path();
    const bool isRefused = path == "/-/kv-txn" ? faults_.refusesWrites : faults_.refusesReads;
    if (isRefused && (path == "/-/kv-txn" || path == "/-/kv-range"))
        return answer(*exchange, statusBusy, Json::object());
    if (path == "/-/kv-range")
        return readRange(*exchange);
    if (path == "/-/kv-watch")
        return watch(exchange);
    if (path == "/-/kv-txn")
        return transact(*exchange);
    if (path == "/-/kv-lease")
        return grantLease(*exchange);
    if (hasPrefix(path, "/-/kv-keep/"))
        return renewLease(*exchange);
    answer(*exchange, statusNotFound, Json::object());
}

void StandinStore::readRange(HttpExchange& exchange)
{
    const std::string prefix = exchange.query("prefix");
    const std::string after = exchange.query("after");
    Json items = Json::array();
    for (const auto& [key, item] : items_) {
        if (hasPrefix(key, prefix) && key > after)
            items.push_back({ { "key", key }, { "value", platform::encodeBase64(item.value) },
                { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } });
    }
    answer(exchange, statusOk, { { "items", items }, { "truncated", false }, { "as-of", revision_ } });
}

void StandinStore::watch(const std::shared_ptr<HttpExchange>& exchange)
{
    const Watch watch { exchange, exchange->query("prefix"), numberIn(*exchange, "after"),
        Clock::now() + Milliseconds(numberIn(*exchange, "wait-ms")) };
    if (!answerWatch(watch, false))
        watches_.push_back(watch);
}

bool StandinStore::answerWatch(const Watch& watch, bool isDue)
{
    if (watch.after < historyFrom_) {
        answer(*watch.exchange, statusGone, Json::object());
        return true;
    }
    Json events = Json::array();
    for (const Event& event : history_) {
        if (event.revision <= watch.after || !hasPrefix(event.key, watch.prefix))
            continue;
        const auto item = items_.find(event.key);
        // A later change of the key follows with its own event.
        if (event.isDeleted || item == items_.end() || item->second.revision != event.revision) {
            if (event.isDeleted)
                events.push_back({ { "key", event.key }, { "revision", event.revision }, { "deleted", true } });
            continue;
        }
        events.push_back({ { "key", event.key }, { "value", platform::encodeBase64(item->second.value) },
            { "revision", event.revision }, { "created", item->second.created }, { "lease", item->second.lease } });
    }
    if (events.empty() && !isDue)
        return false;
    answer(*watch.exchange, statusOk, { { "events", events }, { "as-of", revision_ } });
    return true;
}

void StandinStore::transact(HttpExchange& exchange)
{
    const Json body = Json::parse(exchange.body());
    Json present = Json::array();
    bool holds = true;
    for (const Json& row : body.value("expected-revision", Json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto item = items_.find(key);
        const std::uint64_t actual = item == items_.end() ? 0 : item->second.revision;
        holds = holds && actual == row.at("revision").get<std::uint64_t>();
        if (item != items_.end())
            present.push_back({ { "key", key }, { "revision", actual },
                { "value", platform::encodeBase64(item->second.value) }, { "lease", item->second.lease } });
    }
    if (!holds)
        return answer(exchange, statusConflict, { { "items", present } });
    const Json puts = body.value("puts", Json::array());
    for (const Json& put : puts) {
        const auto lease = put.value("lease", std::uint64_t { 0 });
        if (lease != 0 && leases_.count(lease) == 0)
            return answer(exchange, statusNotFound, Json::object());
    }
    ++revision_;
    for (const Json& put : puts)
        store(put.at("key").get<std::string>(), platform::decodeBase64(put.at("value").get<std::string>()),
            put.value("lease", std::uint64_t { 0 }), revision_);
    for (const Json& key : body.value("deletes", Json::array()))
        erase(key.get<std::string>(), revision_);
    wakeWatches();
    std::uniform_real_distribution<double> draw(0, 1);
    // The exchange stays without an answer; its connection ends with the server's own time-out or the client's.
    if (draw(random_) >= faults_.lostWrites)
        answer(exchange, statusOk, { { "revision", revision_ } });
}

void StandinStore::grantLease(HttpExchange& exchange)
{
    const Milliseconds duration(Json::parse(exchange.body()).at("ttl-ms").get<std::int64_t>());
    leases_[++lastLease_] = { duration, Clock::now() + duration, {} };
    answer(exchange, statusOk, { { "lease", lastLease_ }, { "ttl-ms", duration.count() } });
}

void StandinStore::renewLease(HttpExchange& exchange)
{
    const auto lease = leases_.find(std::stoull(exchange.path().substr(std::string("/-/kv-keep/").size())));
    if (lease == leases_.end())
        return answer(exchange, statusNotFound, Json::object());
    lease->second.endsAt = Clock::now() + lease->second.duration;
    answer(exchange, statusOk, { { "ttl-ms", lease->second.duration.count() } });
}

void StandinStore::store(const std::string& key, const std::string& value, std::uint64_t lease, std::uint64_t revision)
{
    Item& item = items_[key];
    if (item.created == 0)
        item.created = revision;
    if (const auto former = leases_.find(item.lease); former != leases_.end())
        former->second.keys.erase(key);
    item.value = value;
    item.revision = revision;
    item.lease = lease;
    if (const auto held = leases_.find(lease); held != leases_.end())
        held->second.keys.insert(key);
    history_.push_back({ revision, key, false });
}

void StandinStore::erase(const std::string& key, std::uint64_t revision)
{
    const auto item = items_.find(key);
    if (item == items_.end())
        return;
    // The end of the lease must not remove the key after another lease has taken it.
    if (const auto lease = leases_.find(item->second.lease); lease != leases_.end())
        lease->second.keys.erase(key);
    items_.erase(item);
    history_.push_back({ revision, key, true });
}

void StandinStore::wakeWatches()
{
    for (auto it = watches_.begin(); it != watches_.end();)
        it = !faults_.isBusy && answerWatch(*it, false) ? watches_.erase(it) : std::next(it);
}

} // namespace almondlever::soak
