#include "almondlever/pooling/LinkContents.h"

#include <algorithm>

namespace almondlever {

const std::string* LinkContents::nameOf(const PreparedStatement& prepared) const
{
    const auto found = names_.find(prepared);
    return found == names_.end() ? nullptr : &found->second;
}

std::vector<EndpointCommand> LinkContents::prepareFor(
    const SessionContents& session, const Statement& statement, bool isInTransaction)
{
    std::vector<EndpointCommand> commands;
    const auto prepared
        = statement.kind == StatementKind::Execute ? session.prepared.find(statement.name) : session.prepared.end();
    const bool needsPrepare = prepared != session.prepared.end() && !nameOf(prepared->second);
    const bool isUnknown = !isKnown_ || (isChangedInTransaction_ && !isInTransaction);
    const bool isFull = needsPrepare && !hasRoomFor(prepared->second, isInTransaction);
    if (isUnknown || isFull || hasForeignValue(session)) {
        EndpointCommand reset;
        reset.kind = EndpointCommand::Kind::Reset;
        commands.push_back(reset);
        clear();
    }
    for (const auto& [name, value] : session.values) {
        const auto held = values_.find(name);
        if (held != values_.end() && held->second == value)
            continue;
        EndpointCommand set;
        set.kind = EndpointCommand::Kind::SetValue;
        set.name = name;
        set.argument = value;
        commands.push_back(set);
        values_[name] = value;
    }
    if (prepared != session.prepared.end() && !nameOf(prepared->second)) {
        EndpointCommand prepare;
        prepare.kind = EndpointCommand::Kind::Prepare;
        prepare.name = 'p' + std::to_string(++lastName_);
        prepare.argument = prepared->second.shape;
        prepare.isWriteShape = prepared->second.isWrite;
        names_[prepared->second] = prepare.name;
        preparedBytes_ += prepare.argument.size();
        commands.push_back(prepare);
    }
    isChangedInTransaction_ = isChangedInTransaction_ || (isInTransaction && !commands.empty());
    return commands;
}

void LinkContents::clear()
{
    values_.clear();
    names_.clear();
    preparedBytes_ = 0;
    isKnown_ = true;
    isChangedInTransaction_ = false;
}

bool LinkContents::hasRoomFor(const PreparedStatement& prepared, bool isInTransaction) const
{
    const std::size_t factor = isInTransaction ? limitFactorInTransaction : 1;
    return names_.empty()
        || (names_.size() < maximumPrepared * factor
            && preparedBytes_ + prepared.shape.size() <= maximumPreparedBytes * factor);
}

std::size_t LinkContents::countDifferences(const SessionContents& session) const
{
    std::size_t differences
        = !isKnown_ || isChangedInTransaction_ || hasForeignValue(session) ? 1 + session.values.size() : 0;
    if (differences > 0)
        return differences;
    for (const auto& [name, value] : session.values) {
        const auto held = values_.find(name);
        if (held == values_.end() || held->second != value)
            ++differences;
    }
    return differences;
}

bool LinkContents::hasForeignValue(const SessionContents& session) const
{
    return std::any_of(
        values_.begin(), values_.end(), [&session](const auto& held) { return session.values.count(held.first) == 0; });
}

} // namespace almondlever
