#include "GroupFaults.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <tuple>
#include <utility>

namespace almondlever::soak {

namespace {

    using Kind = GroupFault::Kind;

    /** Time in which a change of servers settles before the next faults of the group, at most. */
    constexpr int longestSettleMs = 3500;
    constexpr int longestPauseMs = 4500;
    /** Time without faults before a later change of servers; the run skips one that comes too soon after the former. */
    constexpr Milliseconds pauseBeforeChange { 6500 };

    /** No series begins in the last part of the run, in which its late calls could not be carried out any more. */
    constexpr Milliseconds lastSeries { 9000 };

    class PlanDraw {
    public:
        explicit PlanDraw(const GroupFaultSettings& settings)
            : settings_(settings)
            , random_(settings.seed)
        {
        }

        std::vector<GroupFault> draw()
        {
            for (std::size_t group = 0; group < settings_.groups; ++group) {
                Milliseconds at = time(0, 2000);
                isFirst_ = true;
                while (at < settings_.faultTime)
                    at = drawSequence(group, at) + time(0, longestPauseMs);
            }
            return takeSorted();
        }

        std::vector<GroupFault> drawLateCalls()
        {
            for (std::size_t group = 0; group < settings_.groups; ++group) {
                // Without a record of the group's log holders, which takes a moment, nothing can be promoted.
                for (Milliseconds at = time(1500, 3500); at + lastSeries < settings_.faultTime; at += time(6000, 10000))
                    drawSeries(group, at);
            }
            return takeSorted();
        }

    private:
        std::vector<GroupFault> takeSorted()
        {
            std::stable_sort(
                plan_.begin(), plan_.end(), [](const GroupFault& a, const GroupFault& b) { return a.at < b.at; });
            return std::move(plan_);
        }

        Milliseconds time(int least, int most)
        {
            return Milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
        }
        bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
        std::size_t index(std::size_t size) { return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_); }

        GroupFault& add(Kind kind, std::size_t group, Milliseconds at, Milliseconds duration)
        {
            GroupFault fault;
            fault.kind = kind;
            fault.group = group;
            fault.at = at;
            fault.duration = duration;
            fault.choice = index(settings_.servers * 12);
            plan_.push_back(std::move(fault));
            return plan_.back();
        }

        /** One, some or all daemons. */
        void addRestart(std::size_t group, Milliseconds at, std::optional<Milliseconds> afterTakeover = std::nullopt)
        {
            std::vector<std::size_t> daemons(settings_.daemons);
            std::iota(daemons.begin(), daemons.end(), 0);
            std::shuffle(daemons.begin(), daemons.end(), random_);
            const std::size_t kind = index(3);
            if (kind < 2)
                daemons.resize(kind == 0 ? 1 : 1 + index(daemons.size()));
            GroupFault& fault = add(Kind::RestartDaemons, group, at, time(0, 1200));
            fault.daemons = std::move(daemons);
            fault.isGraceful = chance(0.2);
            fault.afterTakeover = afterTakeover;
        }

        void addServerChange(std::size_t group, Milliseconds at)
        {
            constexpr Kind kinds[] = { Kind::RestartEmpty, Kind::ReplaceReplica, Kind::RetireReplica };
            add(kinds[index(3)], group, at, time(500, 4000));
        }

        /** Returns when its last fault has ended. */
        Milliseconds drawSequence(std::size_t group, Milliseconds at)
        {
            const bool isFirst = std::exchange(isFirst_, false);
            if (chance(0.35)) {
                if (!isFirst)
                    at += pauseBeforeChange;
                addServerChange(group, at);
                at += time(500, longestSettleMs);
            }
            const Milliseconds deafFor = time(6000, 10000);
            add(Kind::DeafenReplicas, group, at, deafFor).count
                = 1 + index(std::max<std::size_t>(settings_.servers, 3) - 2);
            const Milliseconds downAt = at + time(800, 3500);
            const Milliseconds downFor = time(4000, 8000);
            add(chance(0.5) ? Kind::CrashPrimary : Kind::DarkenPrimary, group, downAt, downFor);
            if (chance(0.4))
                add(Kind::LapseEntry, group, at + time(0, 1500), time(4000, 9000));
            if (chance(0.3))
                add(Kind::CrashReplica, group, downAt + time(-500, 1500), time(3000, 7000));
            if (chance(0.6))
                add(Kind::CrashPrimary, group, downAt, time(3000, 7000)).afterTakeover = time(0, 1500);
            if (chance(0.4))
                addRestart(group, at + time(0, static_cast<int>((downAt - at).count())));
            if (chance(0.5))
                addRestart(group, downAt + time(0, 2500));
            if (chance(0.5))
                addRestart(group, downAt, time(0, 1500));
            if (chance(0.2))
                add(Kind::HaltStore, group, at + time(0, 4000), time(300, 3000)).hasLapses = chance(0.5);
            return std::max(at + deafFor, downAt + downFor);
        }

        /** One daemon at least goes on with the primary. */
        void addPart(std::size_t group, Milliseconds at)
        {
            GroupFault& part = add(Kind::PartPrimary, group, at, time(3000, 8000));
            part.refuses = chance(0.5);
            const std::size_t reaching = index(settings_.daemons);
            for (std::size_t daemon = 0; daemon < settings_.daemons; ++daemon) {
                if (daemon != reaching)
                    part.daemons.push_back(daemon);
            }
        }

        void addHalt(std::size_t group, Milliseconds at, Milliseconds afterCall)
        {
            GroupFault& halt = add(Kind::HaltStore, group, at, time(500, 1000));
            halt.afterCall = afterCall;
            halt.answersWrites = chance(0.7);
            halt.answersReads = !halt.answersWrites && chance(0.4);
        }

        /** The primary is away until a call without an answer is due again; then the store is away. */
        void drawInterruptedCall(std::size_t group, Milliseconds at)
        {
            add(Kind::DelayCalls, group, at, time(3000, 5000));
            add(chance(0.5) ? Kind::CrashPrimary : Kind::DarkenPrimary, group, at, time(1000, 2600));
            // A call is due again 0.25 s after its time-out of 1.5 s, or after the end of its connection.
            addHalt(group, at, chance(0.5) ? time(1300, 1700) : time(0, 200));
            add(Kind::DeafenCalled, group, at, time(8000, 12000)).afterCall = time(1000, 2500);
        }

        void drawTrouble(std::size_t group, Milliseconds at)
        {
            if (chance(0.7))
                addPart(group, at);
            else
                add(Kind::IsolatePrimary, group, at, time(2000, 5000));
            if (chance(0.7))
                add(Kind::DelayCalls, group, at, time(3000, 6000));
            if (chance(0.5))
                addHalt(group, at, time(0, 2000));
            if (chance(0.5))
                add(Kind::DeafenCalled, group, at, time(5000, 11000)).afterCall = time(0, 3000);
        }

        void drawSeries(std::size_t group, Milliseconds at)
        {
            if (chance(0.6))
                drawInterruptedCall(group, at);
            else
                drawTrouble(group, at);
            if (chance(0.4))
                add(Kind::DelayOrders, group, at + time(0, 2000), time(1500, 4000));
            if (chance(0.4)) {
                const bool isKilled = chance(0.5);
                const Milliseconds duration = isKilled ? time(300, 1500) : time(1000, 5000);
                add(isKilled ? Kind::RestartDaemons : Kind::SuspendDaemons, group, at, duration).afterCall
                    = time(0, 2000);
            }
            if (chance(0.5)) {
                constexpr Kind kinds[] = { Kind::CrashReplica, Kind::LeaveReplica, Kind::JoinReplica };
                add(kinds[index(3)], group, at, time(300, 3000)).afterCall = time(0, 900);
            }
        }

        GroupFaultSettings settings_;
        std::mt19937_64 random_;
        /** The next sequence is the first one of its group. */
        bool isFirst_ = true;
        std::vector<GroupFault> plan_;
    };

} // namespace

bool operator==(const GroupFault& a, const GroupFault& b)
{
    const auto fields = [](const GroupFault& fault) {
        return std::tie(fault.kind, fault.at, fault.afterTakeover, fault.afterCall, fault.group, fault.duration,
            fault.choice, fault.count, fault.daemons, fault.isGraceful, fault.hasLapses, fault.refuses,
            fault.answersReads, fault.answersWrites);
    };
    return fields(a) == fields(b);
}

std::vector<GroupFault> drawGroupFaults(const GroupFaultSettings& settings) { return PlanDraw(settings).draw(); }

std::vector<GroupFault> drawLateCalls(const GroupFaultSettings& settings) { return PlanDraw(settings).drawLateCalls(); }

} // namespace almondlever::soak
