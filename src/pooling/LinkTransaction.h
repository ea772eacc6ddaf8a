#pragma once

#include "PooledLink.h"

#include <memory>

namespace almondlever {

/** The transaction that is open on a pooled connection, as sessions refer to it. */
class LinkTransaction final : public OpenTransaction {
public:
    LinkTransaction(std::shared_ptr<PooledLink> link, bool isReadWrite)
        : link_(std::move(link))
        , isReadWrite_(isReadWrite)
        , idlePeriods_(link_->idlePeriods())
    {
    }

    const std::shared_ptr<PooledLink>& link() const { return link_; }
    /** True once the connection has been returned to the pool; another session's transaction may be open on it. */
    bool hasEnded() const { return link_->idlePeriods() != idlePeriods_; }
    /** False for a transaction that was begun as a read-only one. */
    bool isReadWrite() const { return isReadWrite_; }

private:
    std::shared_ptr<PooledLink> link_;
    bool isReadWrite_;
    std::uint64_t idlePeriods_;
};

} // namespace almondlever
