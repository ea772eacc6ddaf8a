#include "SentRequests.h"

namespace almondlever {

void SentRequests::add(const RequestId& id, TimePoint now)
{
    while (!order_.empty() && (order_.front().first + retentionTime < now || order_.size() >= maximumCount)) {
        remove(order_.front().second);
        order_.pop_front();
    }
    ++attempts_[id];
    order_.emplace_back(now, id);
}

void SentRequests::remove(const RequestId& id)
{
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && --found->second == 0)
        attempts_.erase(found);
}

bool SentRequests::contains(const RequestId& id) const { return attempts_.count(id) > 0; }

} // namespace almondlever
