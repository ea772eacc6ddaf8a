#pragma once

#include "PooledLink.h"

#include <memory>

namespace almondlever {

/** The transaction that is open on a pooled connection, as sessions refer to it. */
class LinkTransaction final : public OpenTransaction {
public:
    explicit LinkTransaction(std::shared_ptr<PooledLink> link)
        : link_(std::move(link))
        , idlePeriods_(link_->idlePeriods())
    {
    }

    const std::shared_ptr<PooledLink>& link() const { return link_; }
    /** True once the connection has been returned to the pool; another session's transaction may be open on it. */
    bool hasEnded() const { return link_->idlePeriods() != idlePeriods_; }

private:
    std::shared_ptr<PooledLink> link_;
    std::uint64_t idlePeriods_;
};

} // namespace almondlever
