#pragma once

#include "almondlever/pooling/EndpointLink.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondlever {

/**
 * Tracks the session values and prepared statements that are set on an endpoint connection, and produces the commands
 * that bring it to the state a session needs. Sessions share prepared statements of equal shape. Their names on the
 * connection are "p" and a number that is given once per connection: callers' text never becomes part of a name.
 */
class LinkContents {
public:
    /** Number of shapes that a connection holds; it is cleared before another one is prepared. */
    static constexpr std::size_t maximumPrepared = 128;
    /** Total size of the shapes that a connection holds, unless a single one is larger. */
    static constexpr std::size_t maximumPreparedBytes = 256U * 1024;
    /** Multiple of both limits that holds inside a transaction, which should not be disturbed by clearing. */
    static constexpr std::size_t limitFactorInTransaction = 4;

    /**
     * Returns the commands that must succeed before the statement is sent, and updates the contents as if they had.
     * Only the session's values and the statement's own prepared shape are set up. Changes that are made inside a
     * transaction are unknown after it, because a rollback may undo them.
     */
    std::vector<EndpointCommand> prepareFor(const SessionContents&, const Statement&, bool isInTransaction = false);
    /** The name under which the shape is prepared on the connection; nullptr if it is not. */
    const std::string* nameOf(const PreparedStatement&) const;
    /** Number of commands needed for the session's values; the pool prefers the connection with the fewest. */
    std::size_t countDifferences(const SessionContents&) const;
    /** Marks the contents as unknown. */
    void invalidate() { isKnown_ = false; }

private:
    bool hasForeignValue(const SessionContents&) const;
    bool hasRoomFor(const PreparedStatement&, bool isInTransaction) const;
    void clear();

    std::map<std::string, std::string> values_;
    /** The names of the shapes that are prepared on the connection. */
    std::map<PreparedStatement, std::string> names_;
    std::uint64_t lastName_ = 0;
    std::size_t preparedBytes_ = 0;
    bool isKnown_ = true;
    bool isChangedInTransaction_ = false;
};

} // namespace almondlever
