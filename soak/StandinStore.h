#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/transport/HttpServer.h"

#include <asio.hpp>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondlever::soak {

/** The platform's metadata store with ranges, watches, transactions and leases, in memory. */
class StandinStore {
public:
    /** Faults of the store towards all daemons. */
    struct Faults {
        /** Answers 503 and does nothing. */
        bool isBusy = false;
        /** Answers 503 to writes, or to reads of ranges, and does nothing. */
        bool refusesWrites = false;
        bool refusesReads = false;
        /** Leases end while the store is busy, else they pause. */
        bool leasesLapse = false;
        /** Share of the writes that are done and not answered. */
        double lostWrites = 0;
    };

    StandinStore(asio::io_context&, std::uint64_t seed);

    /** Port, or 0 when it cannot listen. */
    std::uint16_t start();
    Faults& faults() { return faults_; }
    /** Writes as the operator or as an endpoint, whatever the faults. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Forgets what watches could resume from, and cuts them. */
    void dropHistory();
    /**
     * Comes back from a copy of this age, or the oldest one: what was written since is gone, and so are all leases;
     * revisions and leases are given out again in a new era.
     */
    void restore(Duration age, TimePoint now);
    /** Keys with a prefix. */
    std::vector<std::string> keysOf(const std::string& prefix) const;
    /** Ends leases and watches that are due. */
    void tick(TimePoint now);
    std::size_t calls() const { return calls_; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        bool isDeleted = false;
    };
    struct Lease {
        Milliseconds duration { 0 };
        TimePoint endsAt;
        std::set<std::string> keys;
    };
    struct Watch {
        std::shared_ptr<HttpExchange> exchange;
        std::string prefix;
        std::uint64_t after = 0;
        TimePoint until;
    };

    /** What the store held at a time. */
    struct Copy {
        TimePoint takenAt;
        std::map<std::string, Item> items;
        std::uint64_t revision = 0;
        std::uint64_t lastLease = 0;
    };

    void takeCopy(TimePoint now);
    void answer(HttpExchange&, unsigned status, const nlohmann::json& body) const;
    void handle(const std::shared_ptr<HttpExchange>&);
    void readRange(HttpExchange&);
    void watch(const std::shared_ptr<HttpExchange>&);
    bool answerWatch(const Watch&, bool isDue);
    void transact(HttpExchange&);
    void grantLease(HttpExchange&);
    void renewLease(HttpExchange&);
    void store(const std::string& key, const std::string& value, std::uint64_t lease, std::uint64_t revision);
    void erase(const std::string& key, std::uint64_t revision);
    void wakeWatches();

    asio::io_context& context_;
    std::mt19937_64 random_;
    std::unique_ptr<HttpServer> server_;
    Faults faults_;
    std::map<std::string, Item> items_;
    std::deque<Event> history_;
    std::uint64_t historyFrom_ = 0;
    std::uint64_t revision_ = 10;
    std::uint64_t lastLease_ = 0;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Watch> watches_;
    TimePoint ticked_ {};
    std::size_t calls_ = 0;
    std::uint64_t era_ = 1;
    /** The oldest one first. */
    std::deque<Copy> copies_;
};

} // namespace almondlever::soak
