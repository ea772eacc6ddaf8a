#include "PlatformServer.h"

#include "almondlever/platform/KeyValueService.h"

#include <algorithm>
#include <asio.hpp>
#include <cstdlib>

namespace almondlever::standin {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds longestWatch { 300000 };

    std::uint64_t number(const StandinRequest& request, const char* name)
    {
        return std::strtoull(request.parameter(name).c_str(), nullptr, 10);
    }

    Place platformPlace() { return { NetworkModel::platformDomain, {}, {} }; }

} // namespace

PlatformServer::PlatformServer(asio::io_context& context, NetworkModel& network, const Settings& settings)
    : context_(context)
    , reads_(settings.readsPerSecond)
    , writes_(settings.writesPerSecond)
    , server_(context, network, { settings.address, platformPlace(), 0, {} },
          { [this](const Connection& connection, const StandinRequest& request) { receive(connection, request); },
              [this](const Connection& connection) { forget(connection); }, nullptr })
    , leaseTimer_(context)
{
}

PlatformServer::~PlatformServer()
{
    *isAlive_ = false;
    server_.stop();
}

void PlatformServer::setOutage(bool isOut)
{
    isOut_ = isOut;
    if (isOut_)
        return;
    const auto unanswered = std::move(unanswered_);
    unanswered_.clear();
    for (const Connection& connection : unanswered)
        connection->close();
    answerWatches();
}

void PlatformServer::receive(const Connection& connection, const StandinRequest& request)
{
    if (request.method == "GET" && request.path == "/vms")
        return listVms(connection);
    if (isOut_)
        return unanswered_.push_back(connection);
    expireLeases();
    const bool isWrite = request.method == "POST";
    CallRate& rate = isWrite ? writes_ : reads_;
    if (!rate.admit(Clock::now()))
        return answer(connection, 429, { { "error", "call rate exceeded" } });
    if (request.path == "/kv" && !isWrite)
        return get(connection, request);
    if (request.path == "/kv/list" && !isWrite)
        return list(connection, request);
    if (isWrite && (request.path == "/kv/cas" || request.path == "/kv/delete"))
        return change(connection, request);
    answer(connection, 404, { { "error", "no such operation" } });
}

void PlatformServer::get(const Connection& connection, const StandinRequest& request)
{
    const std::string key = request.parameter("key");
    const std::string known = request.parameter("known_revision");
    if (!known.empty()) {
        const std::uint64_t knownRevision = number(request, "known_revision");
        if (store_.revisionOf(key) == knownRevision && number(request, "wait_ms") > 0)
            return watch(connection, request, knownRevision);
    }
    answerKey(connection, key);
}

void PlatformServer::watch(const Connection& connection, const StandinRequest& request, std::uint64_t knownRevision)
{
    ++watchCalls_;
    const Milliseconds wait = std::min(Milliseconds(number(request, "wait_ms")), longestWatch);
    watches_.push_back(
        { connection, request.parameter("key"), knownRevision, std::make_unique<asio::steady_timer>(context_, wait) });
    watches_.back().timer->async_wait([this, alive = isAlive_, id = connection->id()](std::error_code error) {
        if (!error && *alive)
            endWatch(id);
    });
}

void PlatformServer::endWatch(std::uint64_t connection)
{
    const auto due = std::find_if(watches_.begin(), watches_.end(),
        [connection](const Watch& watch) { return watch.connection->id() == connection; });
    if (due == watches_.end())
        return;
    const Watch watch = std::move(*due);
    watches_.erase(due);
    if (isOut_)
        return unanswered_.push_back(watch.connection);
    answerKey(watch.connection, watch.key);
}

void PlatformServer::answerWatches()
{
    if (isOut_)
        return;
    std::vector<std::uint64_t> due;
    for (const Watch& watch : watches_) {
        if (store_.revisionOf(watch.key) != watch.knownRevision)
            due.push_back(watch.connection->id());
    }
    for (const std::uint64_t connection : due)
        endWatch(connection);
}

void PlatformServer::change(const Connection& connection, const StandinRequest& request)
{
    KeyValueChange result;
    try {
        const Json body = Json::parse(request.body);
        const std::string key = body.at("key");
        const std::uint64_t expected = body.at("expected_revision");
        if (request.path == "/kv/delete") {
            result = store_.remove(key, expected);
        } else {
            std::string value = body.at("value");
            if (value.size() > maximumKeyValueBytes)
                return answer(connection, 413, { { "error", "value is larger than 1 MiB" } });
            std::optional<Milliseconds> lease;
            if (body.contains("lease_ms"))
                lease = Milliseconds(body["lease_ms"].get<std::int64_t>());
            result = store_.compareAndSwap(key, expected, std::move(value), lease, Clock::now());
        }
    } catch (const Json::exception& error) {
        return answer(connection, 400, { { "error", error.what() } });
    }
    answerChange(connection, result);
    expireLeases();
    answerWatches();
}

void PlatformServer::answerChange(const Connection& connection, const KeyValueChange& result)
{
    if (result.isDone && answersToLose_ > 0) {
        --answersToLose_;
        ++lostAnswers_;
        return;
    }
    answer(connection, result.isDone ? 200 : 409, { { "revision", result.revision } });
}

void PlatformServer::answerKey(const Connection& connection, const std::string& key)
{
    const KeyValueStore::Entry* entry = store_.find(key);
    if (!entry)
        return answer(connection, 404, { { "revision", 0 } });
    answer(connection, 200, { { "value", entry->value }, { "revision", entry->revision } });
}

void PlatformServer::list(const Connection& connection, const StandinRequest& request)
{
    answer(connection, 200, { { "keys", store_.list(request.parameter("prefix")) } });
}

void PlatformServer::listVms(const Connection& connection)
{
    ++vmListCalls_;
    Json list = Json::array();
    for (const VmListEntry& entry : vms_.list(Clock::now())) {
        Json vm { { "id", entry.id.text() }, { "state", entry.state == VmState::Live ? "live" : "leaving" },
            { "failure_domain", entry.failureDomain.text() } };
        if (!entry.peerAddress.empty())
            vm["peer_address"] = entry.peerAddress;
        list.push_back(std::move(vm));
    }
    connection->respond({ 200, { { "Content-Type", "application/json" } }, Json { { "vms", list } }.dump() });
}

void PlatformServer::answer(const Connection& connection, unsigned status, const Json& body)
{
    HttpResponse response { status, { { "Content-Type", "application/json" } }, body.dump() };
    if (slowness_.count() == 0)
        return connection->respond(response);
    const auto timer = std::make_shared<asio::steady_timer>(context_, slowness_);
    timer->async_wait(
        [timer, connection, response = std::move(response)](std::error_code) { connection->respond(response); });
}

void PlatformServer::expireLeases()
{
    if (!store_.expire(Clock::now()).empty())
        answerWatches();
    const auto next = store_.nextExpiry();
    if (!next)
        return;
    leaseTimer_.expires_at(*next);
    leaseTimer_.async_wait([this, alive = isAlive_](std::error_code error) {
        if (!error && *alive)
            expireLeases();
    });
}

void PlatformServer::forget(const Connection& connection)
{
    watches_.remove_if([&connection](const Watch& watch) { return watch.connection == connection; });
    unanswered_.remove(connection);
}

Json PlatformServer::statistics() const
{
    return { { "reads", reads_.calls() }, { "reads_refused", reads_.refused() },
        { "reads_peak_per_second", reads_.peakPerSecond() }, { "writes", writes_.calls() },
        { "writes_refused", writes_.refused() }, { "writes_peak_per_second", writes_.peakPerSecond() },
        { "watches", watchCalls_ }, { "watches_waiting", watches_.size() }, { "lost_answers", lostAnswers_ },
        { "vm_list_calls", vmListCalls_ } };
}

} // namespace almondlever::standin
