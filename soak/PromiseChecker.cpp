#include "PromiseChecker.h"

#include "OddText.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <utility>

namespace almondlever::soak {

void PromiseChecker::report(const std::string& promise, const std::string& detail)
{
    violations_.push_back(promise + ": " + escape(detail));
}

void PromiseChecker::noteSent(const std::string& id, const SentStatement& statement) { sent_[id] = statement; }

void PromiseChecker::noteRun(const std::string& id, const RunStatement& run)
{
    ++runs_;
    runsOf_[id].push_back({ run.signature, run.rows });
    const auto found = sent_.find(id);
    if (found == sent_.end())
        return report("unasked", "statement " + id + " ran on " + run.endpoint.text() + ", no caller sent it");
    const SentStatement& sent = found->second;
    checkText(id, sent, run);
    if (sent.values != run.values)
        report("pinned", "statement " + id + " ran with other session values on " + run.endpoint.text());
    checkPinned(id, sent, run);
    if (sent.isRead)
        checkFresh(id, sent, run);
}

void PromiseChecker::checkText(const std::string& id, const SentStatement& sent, const RunStatement& run)
{
    if (sent.text != run.text || sent.prepared.has_value() != run.prepared.has_value())
        report("unasked", "statement " + id + " was sent as '" + sent.text + "' and ran as '" + run.text + "'");
    if (sent.prepared && run.prepared && !(*sent.prepared == *run.prepared))
        report("pinned",
            "statement " + id + " ran the shape '" + run.prepared->text + "', its caller had prepared '"
                + sent.prepared->text + "'");
}

void PromiseChecker::noteUnknownName(const std::string& id)
{
    const auto found = sent_.find(id);
    if (found == sent_.end())
        return report("unasked", "an unknown name was to be executed by " + id + ", no caller sent it");
    if (found->second.prepared)
        report("pinned", "the name in statement " + id + " was unknown, its preparing was acknowledged");
}

void PromiseChecker::noteUnsolicited(const std::string& session, const std::string& message)
{
    report("unsolicited", "session " + session + " got '" + message + "', which answers nothing");
}

void PromiseChecker::checkPinned(const std::string& id, const SentStatement& sent, const RunStatement& run)
{
    if (sent.transaction != 0 && run.transaction == 0)
        return report("pinned", "statement " + id + " ran outside of its transaction");
    if (run.transaction == 0)
        return;
    // A transaction that the proxy begins around a single read belongs to that read alone.
    const std::string owner = sent.transaction != 0 ? "t" + std::to_string(sent.transaction) : id;
    // Nobody could ask for the end of a transaction around a single write.
    if (sent.transaction == 0 && !sent.isRead)
        report("pinned", "single write " + id + " ran inside a transaction on " + run.endpoint.text());
    const std::string& known = owners_.emplace(run.transaction, owner).first->second;
    if (known != owner)
        report("pinned", "statement " + id + " ran inside another transaction on " + run.endpoint.text());
    if (sent.transaction == 0)
        return;
    Place& place = places_.emplace(sent.transaction, Place { run.transaction, id, true }).first->second;
    // The answer to a first statement may be lost; nothing of the transaction is kept, and it begins elsewhere anew.
    place.isFirstOnly = place.isFirstOnly && place.firstStatement == id;
    if (place.isFirstOnly)
        place.transaction = run.transaction;
    if (place.transaction != run.transaction)
        report("pinned", "statement " + id + " left the connection of its transaction");
}

void PromiseChecker::checkFresh(const std::string& id, const SentStatement& sent, const RunStatement& run)
{
    const auto group = acknowledged_.find(sent.group);
    if (group == acknowledged_.end() || !run.log)
        return;
    const Acknowledged* needed = nullptr;
    for (const Acknowledged& commit : group->second) {
        const bool isOwn = sent.rule == ReadRule::ReadYourWrites && commit.session == sent.session;
        const Duration allowed = sent.rule == ReadRule::Primary || isOwn ? Duration(0) : sent.maximumStaleness;
        if (commit.at + allowed < sent.since && (!needed || commit.index > needed->index))
            needed = &commit;
    }
    if (!needed || needed->index == 0)
        return;
    const auto& log = *run.log;
    const std::size_t place = needed->index - 1;
    const bool isVisible = place < run.visible && place < log.size()
        && std::count(log[place].tokens.begin(), log[place].tokens.end(), needed->token) > 0;
    if (!isVisible)
        report("stale",
            "read " + id + " on " + run.endpoint.text() + " did not see " + needed->token + " at "
                + std::to_string(needed->index));
}

void PromiseChecker::noteSuccess(
    const std::string& id, const std::string& signature, const std::vector<std::string>& rows)
{
    const auto found = runsOf_.find(id);
    const auto matches = [&](const Run& run) { return run.signature == signature && run.rows == rows; };
    if (found == runsOf_.end() || std::none_of(found->second.begin(), found->second.end(), matches))
        report("mixed", "the answer to " + id + " is not what an endpoint gave");
}

void PromiseChecker::noteCommitAsked(const std::vector<std::string>& tokens)
{
    asked_.insert(tokens.begin(), tokens.end());
}

void PromiseChecker::noteCommitted(
    const GroupId& group, std::size_t index, const std::vector<std::string>& tokens, Term term)
{
    for (const std::string& token : tokens) {
        indexOf_[token] = index;
        committed_[group][token] = { term, index };
        if (asked_.count(token) == 0)
            report("unasked", "write " + token + " was committed, its caller did not ask for it");
    }
}

void PromiseChecker::noteAcknowledged(
    const GroupId& group, const EndpointId& endpoint, const std::vector<std::string>& tokens)
{
    for (const std::string& token : tokens)
        held_[group][token] = endpoint;
}

bool PromiseChecker::coversAcknowledged(
    const GroupId& group, const std::vector<const std::vector<LogEntry>*>& logs) const
{
    std::set<std::string> present;
    for (const auto* log : logs) {
        for (const LogEntry& entry : *log)
            present.insert(entry.tokens.begin(), entry.tokens.end());
    }
    const auto held = held_.find(group);
    return held == held_.end() || std::all_of(held->second.begin(), held->second.end(), [&](const auto& commit) {
        return present.count(commit.first) > 0;
    });
}

void PromiseChecker::noteAttempt(const std::string& session, const GroupId& group,
    const std::vector<std::string>& tokens, AttemptOutcome outcome, TimePoint now)
{
    if (outcome == AttemptOutcome::NothingKept)
        promisedAway_.insert(tokens.begin(), tokens.end());
    if (outcome != AttemptOutcome::Success)
        return;
    for (const std::string& token : tokens) {
        const auto index = indexOf_.find(token);
        if (index == indexOf_.end())
            report("mixed", "write " + token + " was acknowledged, no endpoint committed it");
        else
            acknowledged_[group].push_back({ now, session, token, index->second });
        ++acknowledgedTokens_;
        heardAt_[token] = now;
        if (const auto rolledBack = rolledBack_.find(token); rolledBack != rolledBack_.end())
            reportLost(group, token, rolledBack->second, now);
    }
}

std::set<std::string> PromiseChecker::checkContents(const std::string& occasion, const std::vector<LogEntry>& log)
{
    std::set<std::string> present;
    for (const LogEntry& entry : log) {
        for (const std::string& token : entry.tokens) {
            if (!present.insert(token).second)
                report("twice", fmt::format("write {} took effect twice, {}", token, occasion));
            if (promisedAway_.count(token) > 0)
                report("refused", fmt::format("write {} is kept, its caller was told otherwise, {}", token, occasion));
        }
    }
    return present;
}

void PromiseChecker::checkPromotion(
    const GroupId& group, const std::string& promotion, const std::vector<LogEntry>& log, TimePoint effectAt)
{
    const std::set<std::string> present = checkContents(promotion, log);
    for (const auto& [token, position] : committed_[group]) {
        if (present.count(token) > 0) {
            rolledBack_.erase(token);
            continue;
        }
        RollBack& rollBack = rolledBack_.try_emplace(token, RollBack { promotion, effectAt, false }).first->second;
        if (const auto heard = heardAt_.find(token); heard != heardAt_.end())
            reportLost(group, token, rollBack, heard->second);
    }
}

void PromiseChecker::reportLost(const GroupId& group, const std::string& token, RollBack& rollBack, TimePoint heardAt)
{
    if (std::exchange(rollBack.isReported, true))
        return;
    const LogPosition position = committed_[group][token];
    const auto before = std::chrono::duration_cast<Milliseconds>(rollBack.at - heardAt).count();
    report("LOST",
        fmt::format("commit {}.{} of {} ({}), whose caller heard of it {} ms {} the effect, is missing, {}",
            position.term, position.index, group.text(), token, std::abs(before), before < 0 ? "after" : "before",
            rollBack.promotion));
}

std::size_t PromiseChecker::rolledBackUnheard() const
{
    return static_cast<std::size_t>(std::count_if(rolledBack_.begin(), rolledBack_.end(), [this](const auto& entry) {
        const bool wasAcknowledged = std::any_of(
            held_.begin(), held_.end(), [&entry](const auto& held) { return held.second.count(entry.first) > 0; });
        return wasAcknowledged && heardAt_.count(entry.first) == 0;
    }));
}

void PromiseChecker::checkLog(const GroupId& group, const std::string& occasion, const std::vector<LogEntry>& log)
{
    const std::set<std::string> present = checkContents(occasion, log);
    for (const Acknowledged& commit : acknowledged_[group]) {
        if (present.count(commit.token) == 0)
            report("lost", "acknowledged write " + commit.token + " is missing, " + occasion);
    }
    // Reported once: a commit that a promotion has rolled back is missing from all later logs too.
    auto& held = held_[group];
    for (auto it = held.begin(); it != held.end();) {
        if (present.count(it->first) > 0) {
            ++it;
            continue;
        }
        report("lost_commit",
            fmt::format("commit of {}, acknowledged by {}, is missing, {}", it->first, it->second.text(), occasion));
        it = held.erase(it);
    }
}

} // namespace almondlever::soak
