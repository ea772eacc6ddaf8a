#include "almondlever/pooling/LinkContents.h"

#include <algorithm>

namespace almondlever {

const std::string* LinkContents::nameOf(const PreparedStatement& prepared) const
{
    const auto found = names_.find(prepared);
    return found == names_.end() ? nullptr : &found->second;
}

std::vector<EndpointCommand> LinkContents::prepareFor(const SessionContents& session, const Statement& statement)
{
    std::vector<EndpointCommand> commands;
    if (!isKnown_ || hasForeignValue(session)) {
        EndpointCommand reset;
        reset.kind = EndpointCommand::Kind::Reset;
        commands.push_back(reset);
        values_.clear();
        names_.clear();
        isKnown_ = true;
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
    if (statement.kind != StatementKind::Execute)
        return commands;
    const auto prepared = session.prepared.find(statement.name);
    if (prepared == session.prepared.end())
        return commands;
    if (nameOf(prepared->second))
        return commands;
    EndpointCommand prepare;
    prepare.kind = EndpointCommand::Kind::Prepare;
    prepare.name = 'p' + std::to_string(++lastName_);
    names_[prepared->second] = prepare.name;
    prepare.argument = prepared->second.shape;
    prepare.isWriteShape = prepared->second.isWrite;
    commands.push_back(prepare);
    return commands;
}

std::size_t LinkContents::countDifferences(const SessionContents& session) const
{
    std::size_t differences = !isKnown_ || hasForeignValue(session) ? 1 + session.values.size() : 0;
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
