#pragma once

#include "almondlever/capacity/GroupCapacity.h"
#include "almondlever/pooling/EndpointSelection.h"
#include "almondlever/pooling/SharedWindow.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace almondlever {

/** How the owners of the simulated group choose the endpoint of a read. */
enum class Selection {
    /** GroupCapacity: lowest expected completion of all endpoints. */
    ExpectedCompletion,
    /** Lowest expected completion of two random endpoints. */
    TwoChoices,
    /** SharedWindow and selectReadEndpoint(), as without learned capacity. */
    Present,
};

/** An endpoint of the simulated group, whose behaviour a test may change at any time. */
struct SimulatedEndpoint {
    EndpointId id;
    /** Factor of every service time. */
    double slowness = 1;
    /** Shares of the statements that are lost after half of their service time, and refused at once. */
    double failureShare = 0;
    double refusalShare = 0;
    std::size_t slots = 5;
    std::size_t busy = 0;
    std::deque<std::size_t> queue;
    std::size_t given = 0;
};

/**
 * One group of three endpoints and nine owners with the rates of deployment B: each owner sees 18 reads a second,
 * exchanges reports every two seconds, and reaches endpoints within 1 or 24 ms. Service times are exponential.
 */
class CapacitySimulation {
public:
    struct Outcome {
        std::size_t reads = 0;
        std::size_t failed = 0;
        std::size_t refused = 0;
        /** Seconds, sorted by summarise(). */
        std::vector<double> latencies;
        double mean() const
        {
            double sum = 0;
            for (const double latency : latencies)
                sum += latency;
            return latencies.empty() ? 0 : sum / static_cast<double>(latencies.size());
        }
        double quantile(double share) const
        {
            std::vector<double> sorted = latencies;
            std::sort(sorted.begin(), sorted.end());
            return sorted.empty() ? 0
                                  : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        }
    };

    explicit CapacitySimulation(Selection selection, std::uint64_t seed = 20261204, std::size_t owners = 9)
        : selection_(selection)
        , random_(seed)
    {
        for (const char* name : { "a", "b", "c" })
            endpoints.emplace_back().id = EndpointId(name);
        for (std::size_t number = 0; number < owners; ++number)
            owners_.push_back(std::make_unique<Owner>(number, endpoints));
    }

    GroupCapacity& capacityOf(std::size_t owner) { return owners_[owner]->capacity; }

    /** Replaces the daemon by one that knows nothing. */
    void restart(std::size_t owner) { owners_[owner] = std::make_unique<Owner>(owner, endpoints); }

    /** Moves time forward; returns what became of the reads that ended meanwhile. */
    Outcome advance(Duration by)
    {
        outcome_ = Outcome();
        const TimePoint end = now + by;
        while (now < end) {
            // One millisecond is a twentieth of the shortest usual service time.
            now += Milliseconds(1);
            for (auto& owner : owners_) {
                if (std::bernoulli_distribution(readsPerSecond / 1000)(random_))
                    owner->waiting.push_back(now);
            }
            while (!ends_.empty() && ends_.top().at <= now) {
                const Event event = ends_.top();
                ends_.pop();
                event.isService ? endService(event.read) : endRead(event.read);
            }
            for (auto& owner : owners_) {
                place(*owner);
                if (now - owner->evaluatedAt >= Milliseconds(25)) {
                    owner->evaluatedAt = now;
                    owner->capacity.evaluate(serving, now);
                    for (CapacityChange& change : owner->capacity.takeChanges())
                        changes.push_back(std::move(change));
                }
            }
            if (reports && now - reportedAt_ >= Milliseconds(2000))
                exchangeReports();
        }
        return std::move(outcome_);
    }

    std::size_t countChanges(CapacityChange::Kind kind, const std::string& endpoint) const
    {
        return static_cast<std::size_t>(std::count_if(changes.begin(), changes.end(),
            [&](const CapacityChange& change) { return change.kind == kind && change.endpoint.text() == endpoint; }));
    }

    TimePoint now { std::chrono::hours(1) };
    double readsPerSecond = 18;
    Milliseconds service { 30 };
    bool reports = true;
    std::vector<SimulatedEndpoint> endpoints;
    std::vector<EndpointId> serving { EndpointId("a"), EndpointId("b"), EndpointId("c") };
    std::vector<CapacityChange> changes;

private:
    struct Read {
        std::size_t owner = 0;
        std::size_t endpoint = 0;
        std::size_t rank = 0;
        TimePoint arrival;
        TimePoint sentAt;
        bool fails = false;
        bool isRefused = false;
    };
    struct Event {
        TimePoint at;
        std::size_t read = 0;
        /** The service ended; otherwise the answer arrives. */
        bool isService = false;
        bool operator>(const Event& other) const { return at > other.at; }
    };
    struct Owner {
        Owner(std::size_t ownNumber, const std::vector<SimulatedEndpoint>& endpoints)
            : number(ownNumber)
            , windows(endpoints.size())
            , running(endpoints.size(), 0)
        {
            for (std::size_t endpoint = 0; endpoint < endpoints.size(); ++endpoint) {
                windows[endpoint].setMaximum(7);
                capacity.endpoint(endpoints[endpoint].id).setMaximum(7);
            }
        }
        std::size_t number;
        GroupCapacity capacity { GroupId("ledger") };
        std::vector<SharedWindow> windows;
        std::vector<std::size_t> running;
        std::deque<TimePoint> waiting;
        TimePoint evaluatedAt {};
    };

    /** One way; the owners are spread over the three regions. */
    static Milliseconds distance(const Owner& owner, std::size_t endpoint)
    {
        return owner.number % 3 == endpoint ? Milliseconds(1) : Milliseconds(12);
    }

    std::optional<std::size_t> choose(Owner& owner, const StatementClass& kind)
    {
        std::vector<CapacityCandidate> candidates;
        std::vector<ReadCandidate> present;
        for (std::size_t index = 0; index < endpoints.size(); ++index) {
            const EndpointId& id = endpoints[index].id;
            const bool canServe = std::find(serving.begin(), serving.end(), id) != serving.end();
            CapacityCandidate candidate { index, id, false, false, canServe, owner.running[index], 5, {} };
            candidate.hasFreeConnection
                = canServe && owner.capacity.endpoint(id).allows(owner.running[index], false, now);
            candidates.push_back(candidate);
            ReadCandidate old;
            old.index = index;
            old.hasFreeConnection = canServe && owner.windows[index].allows(owner.running[index], false, now);
            old.running = owner.running[index];
            old.slots = 5;
            old.latency = owner.windows[index].latency();
            present.push_back(old);
        }
        if (selection_ == Selection::Present)
            return selectReadEndpoint(present, {});
        if (selection_ == Selection::TwoChoices)
            candidates.erase(candidates.begin() + std::uniform_int_distribution<int>(0, 2)(random_));
        return owner.capacity.chooseRead(candidates, kind, now);
    }

    void place(Owner& owner)
    {
        while (!owner.waiting.empty()) {
            const StatementClass kind { StatementClass::Type::Read, reads_.size() % 3 };
            const std::optional<std::size_t> chosen = choose(owner, kind);
            if (!chosen)
                return;
            Read read;
            read.owner = owner.number;
            read.endpoint = *chosen;
            read.rank = kind.rank;
            read.arrival = owner.waiting.front();
            read.sentAt = now;
            SimulatedEndpoint& endpoint = endpoints[*chosen];
            read.fails = std::bernoulli_distribution(endpoint.failureShare)(random_);
            read.isRefused = std::bernoulli_distribution(endpoint.refusalShare)(random_) || endpoint.queue.size() >= 40;
            owner.waiting.pop_front();
            ++owner.running[*chosen];
            ++endpoint.given;
            const std::size_t number = reads_.size();
            reads_.push_back(read);
            if (read.isRefused)
                ends_.push({ now + 2 * distance(owner, *chosen), number, false });
            else if (endpoint.busy < endpoint.slots)
                startService(number);
            else
                endpoint.queue.push_back(number);
        }
    }

    void startService(std::size_t number)
    {
        const Read& read = reads_[number];
        SimulatedEndpoint& endpoint = endpoints[read.endpoint];
        ++endpoint.busy;
        // Rank 0 has short statements, rank 1 long ones.
        const double factor = read.rank == 0 ? 0.3 : read.rank == 1 ? 1.7 : 1.0;
        const double mean = std::chrono::duration<double>(service).count() * factor * endpoint.slowness;
        const double taken = std::exponential_distribution<double>(1 / mean)(random_) * (read.fails ? 0.5 : 1);
        ends_.push({ now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(taken)), number, true });
    }

    void endService(std::size_t number)
    {
        const Read& read = reads_[number];
        SimulatedEndpoint& endpoint = endpoints[read.endpoint];
        --endpoint.busy;
        if (!endpoint.queue.empty()) {
            const std::size_t next = endpoint.queue.front();
            endpoint.queue.pop_front();
            startService(next);
        }
        ends_.push({ now + 2 * distance(*owners_[read.owner], read.endpoint), number, false });
    }

    void endRead(std::size_t number)
    {
        const Read& read = reads_[number];
        Owner& owner = *owners_[read.owner];
        EndpointCapacity& capacity = owner.capacity.endpoint(endpoints[read.endpoint].id);
        const StatementClass kind { StatementClass::Type::Read, read.rank };
        const std::size_t running = owner.running[read.endpoint];
        if (owner.running[read.endpoint] > 0)
            --owner.running[read.endpoint];
        ++outcome_.reads;
        if (read.isRefused) {
            ++outcome_.refused;
            capacity.noteRefusal(kind, now);
            owner.windows[read.endpoint].noteRefusal(now);
            owner.waiting.push_back(read.arrival);
            return;
        }
        if (read.fails) {
            ++outcome_.failed;
            return capacity.noteFailure(kind, now);
        }
        capacity.noteAnswer(kind, now - read.sentAt, running, now);
        owner.windows[read.endpoint].noteAnswer(now - read.sentAt, running, now);
        outcome_.latencies.push_back(std::chrono::duration<double>(now - read.arrival).count());
    }

    void exchangeReports()
    {
        reportedAt_ = now;
        for (const auto& from : owners_) {
            GroupReport report;
            report.group = GroupId("ledger");
            report.period = Milliseconds(4000);
            from->capacity.fillReport(report, now);
            for (const auto& to : owners_) {
                if (to != from)
                    to->capacity.onReport(VmId("vm-" + std::to_string(from->number)), report, now);
            }
        }
    }

    Selection selection_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Owner>> owners_;
    std::vector<Read> reads_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> ends_;
    TimePoint reportedAt_ {};
    Outcome outcome_;
};

} // namespace almondlever
