#pragma once

#include "almondlever/failover/GroupPromotion.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/** Texts of the log lines on changes of primary. Lists contain neither blanks nor "=", so that they need no quotes. */
namespace almondlever::promotionLog {

/** "query_status", "pause" and so on. */
const char* toText(GroupPromotion::Order::Kind);
/** Whole milliseconds. */
std::string millisecondsOf(Duration);
/** "id@startedAt,...": the members with the Unix times of their starts in milliseconds. */
std::string listOf(const std::vector<PromotionMember>&);
/** "id:term/index,...". */
std::string listOf(const std::map<EndpointId, LogPosition>&);
/** "id,...". */
std::string listOf(const std::set<EndpointId>&);

} // namespace almondlever::promotionLog
