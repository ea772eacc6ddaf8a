#include "SchedulerReplay.h"

#include <algorithm>
#include <queue>

namespace almondlever::measure {

namespace {

    struct RunningRequest {
        TimePoint end;
        QueuedRequest request;
        friend bool operator<(const RunningRequest& left, const RunningRequest& right) { return left.end > right.end; }
    };

    class Replay {
    public:
        Replay(Scheduler& scheduler, const DeploymentLoad& deployment, const std::vector<Arrival>& arrivals,
            const TracePhases& phases)
            : scheduler_(scheduler)
            , deployment_(deployment)
            , arrivals_(arrivals)
            , phases_(phases)
            , fates_(arrivals.size(), 0)
        {
            preparePhase(record_.before, phases.floodBegin - phases.warm);
            preparePhase(record_.flood, phases.floodEnd - phases.floodBegin);
            for (std::size_t rank = 0; rank < deployment.ranks.size(); ++rank) {
                callerIds_.emplace_back();
                for (std::size_t caller = 0; caller < deployment.ranks[rank].callers; ++caller)
                    callerIds_.back().emplace_back(std::to_string(rank) + "-" + std::to_string(caller));
            }
        }

        ReplayRecord run()
        {
            for (Ticket ticket = 0; ticket < arrivals_.size(); ++ticket) {
                finishUntil(arrivals_[ticket].time);
                arrive(ticket);
            }
            finishUntil(TimePoint::max());
            for (const int fate : fates_)
                record_.lostOrRepeated += fate == 1 ? 0 : 1;
            return std::move(record_);
        }

    private:
        void preparePhase(PhaseRecord& phase, Duration length)
        {
            phase.length = length;
            phase.ranks.resize(deployment_.ranks.size());
            for (std::size_t rank = 0; rank < phase.ranks.size(); ++rank) {
                phase.ranks[rank].callerOffered.resize(deployment_.ranks[rank].callers);
                phase.ranks[rank].callerServed.resize(deployment_.ranks[rank].callers);
            }
        }

        RankRecord* recordOf(const Arrival& arrival)
        {
            if (arrival.time < phases_.warm)
                return nullptr;
            PhaseRecord& phase = arrival.time < phases_.floodBegin ? record_.before : record_.flood;
            return &phase.ranks[arrival.rank];
        }

        void arrive(Ticket ticket)
        {
            const Arrival& arrival = arrivals_[ticket];
            constexpr std::size_t bytes = 200;
            const QueuedRequest request { ticket, callerIds_[arrival.rank][arrival.caller], arrival.rank, bytes,
                arrival.time, arrival.time + deployment_.ranks[arrival.rank].rule.deadline };
            RankRecord* record = recordOf(arrival);
            if (record) {
                ++record->offered;
                record->callerOffered[arrival.caller] += arrival.slotTime;
            }
            if (scheduler_.offer(request, arrival.time)) {
                ++fates_[ticket];
                if (record)
                    ++record->refusedOnArrival;
            }
            fillSlots(arrival.time);
        }

        void fillSlots(TimePoint now)
        {
            removeExpired(now);
            while (running_.size() < deployment_.slots) {
                const std::optional<QueuedRequest> request = scheduler_.take(now);
                if (!request)
                    break;
                start(*request, now);
            }
            removeExpired(now);
        }

        void removeExpired(TimePoint now)
        {
            for (const QueuedRequest& removed : scheduler_.removeExpired(now)) {
                ++fates_[removed.ticket];
                if (RankRecord* record = recordOf(arrivals_[removed.ticket]))
                    ++record->removedFromQueue;
            }
        }

        void start(const QueuedRequest& request, TimePoint now)
        {
            const Arrival& arrival = arrivals_[request.ticket];
            const TimePoint end = now + arrival.slotTime;
            running_.push({ end, request });
            ++fates_[request.ticket];
            const bool isInside = end <= request.deadline;
            addSlotTime(record_.before, phases_.warm, phases_.floodBegin, arrival, now, isInside);
            addSlotTime(record_.flood, phases_.floodBegin, phases_.floodEnd, arrival, now, isInside);
            RankRecord* record = recordOf(arrival);
            if (!record)
                return;
            record->waits.push_back(now - arrival.time);
            ++(isInside ? record->insideDeadline : record->late);
            if (isInside)
                record->callerServed[arrival.caller] += arrival.slotTime;
        }

        static void addSlotTime(
            PhaseRecord& phase, TimePoint begin, TimePoint end, const Arrival& arrival, TimePoint start, bool isInside)
        {
            const Duration overlap = std::min(end, start + arrival.slotTime) - std::max(begin, start);
            if (overlap <= Duration(0))
                return;
            phase.ranks[arrival.rank].slotTime += overlap;
            if (isInside)
                phase.ranks[arrival.rank].usefulSlotTime += overlap;
        }

        void finishUntil(TimePoint time)
        {
            while (!running_.empty() && running_.top().end <= time) {
                const RunningRequest ended = running_.top();
                running_.pop();
                scheduler_.finish(ended.request, arrivals_[ended.request.ticket].slotTime, ended.end);
                fillSlots(ended.end);
            }
        }

        Scheduler& scheduler_;
        const DeploymentLoad& deployment_;
        const std::vector<Arrival>& arrivals_;
        const TracePhases& phases_;
        std::vector<std::vector<CallerId>> callerIds_;
        std::vector<int> fates_;
        std::priority_queue<RunningRequest> running_;
        ReplayRecord record_;
    };

} // namespace

ReplayRecord replay(Scheduler& scheduler, const DeploymentLoad& deployment, const std::vector<Arrival>& arrivals,
    const TracePhases& phases)
{
    return Replay(scheduler, deployment, arrivals, phases).run();
}

} // namespace almondlever::measure
