#pragma once

#include <cstddef>
#include <functional>
#include <list>

namespace almondlever {

class TransitLimits;

/** The rows that one endpoint connection has received of an incomplete response. Owned by the connection. */
class TransitAccount {
public:
    /** The function schedules further reading; it may be called from within calls to other accounts. */
    TransitAccount(TransitLimits&, std::function<void()> scheduleResume);
    ~TransitAccount();
    TransitAccount(const TransitAccount&) = delete;
    TransitAccount& operator=(const TransitAccount&) = delete;

    /** True if the connection may read on. If not, the function is called once it may. */
    bool mayContinue();
    void hold(std::size_t bytes);
    /** The response is complete or given up. */
    void release();

private:
    friend class TransitLimits;

    TransitLimits& limits_;
    std::function<void()> scheduleResume_;
    std::size_t bytes_ = 0;
    bool isStopped_ = false;
    std::list<TransitAccount*>::iterator position_;
};

/**
 * Bounds the rows of responses that are being received from endpoints. Beyond the limit, connections that hold more
 * than a small response stop reading, except the one whose response began first, so that responses are completed.
 */
class TransitLimits {
public:
    explicit TransitLimits(std::size_t mostBytes)
        : mostBytes_(mostBytes)
    {
    }

    std::size_t heldBytes() const { return heldBytes_; }

private:
    friend class TransitAccount;

    void resumeStopped();

    std::size_t mostBytes_;
    std::size_t heldBytes_ = 0;
    /** Accounts that hold bytes, in the order in which their responses began. */
    std::list<TransitAccount*> holders_;
};

} // namespace almondlever
