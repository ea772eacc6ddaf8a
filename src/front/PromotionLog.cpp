#include "PromotionLog.h"

namespace almondlever::promotionLog {

const char* toText(GroupPromotion::Order::Kind kind)
{
    switch (kind) {
    case GroupPromotion::Order::Kind::QueryStatus:
        return "query_status";
    case GroupPromotion::Order::Kind::Pause:
        return "pause";
    case GroupPromotion::Order::Kind::Resume:
        return "resume";
    case GroupPromotion::Order::Kind::StepDown:
        return "step_down";
    case GroupPromotion::Order::Kind::Promote:
        break;
    }
    return "promote";
}

std::string millisecondsOf(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

namespace {

    void appendItem(std::string& list, const std::string& item)
    {
        if (!list.empty())
            list += ',';
        list += item;
    }

} // namespace

std::string listOf(const std::vector<PromotionMember>& members)
{
    std::string list;
    for (const PromotionMember& member : members)
        appendItem(list, member.id.text() + '@' + std::to_string(member.startedAt.count()));
    return list;
}

std::string listOf(const std::map<EndpointId, LogPosition>& positions)
{
    std::string list;
    for (const auto& [id, position] : positions)
        appendItem(list, id.text() + ':' + std::to_string(position.term) + '/' + std::to_string(position.index));
    return list;
}

std::string listOf(const std::set<EndpointId>& endpoints)
{
    std::string list;
    for (const EndpointId& id : endpoints)
        appendItem(list, id.text());
    return list;
}

} // namespace almondlever::promotionLog
