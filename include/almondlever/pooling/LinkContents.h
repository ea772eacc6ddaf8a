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
    /**
     * Returns the commands that must succeed before the statement is sent, and updates the contents as if they had.
     * Only the session's values and the statement's own prepared shape are set up.
     */
    std::vector<EndpointCommand> prepareFor(const SessionContents&, const Statement&);
    /** The name under which the shape is prepared on the connection; nullptr if it is not. */
    const std::string* nameOf(const PreparedStatement&) const;
    /** Number of commands needed for the session's values; the pool prefers the connection with the fewest. */
    std::size_t countDifferences(const SessionContents&) const;
    /** Marks the contents as unknown: a rollback undoes changes that were made inside the transaction. */
    void invalidate() { isKnown_ = false; }

private:
    bool hasForeignValue(const SessionContents&) const;

    std::map<std::string, std::string> values_;
    /** The names of the shapes that are prepared on the connection. */
    std::map<PreparedStatement, std::string> names_;
    std::uint64_t lastName_ = 0;
    bool isKnown_ = true;
};

} // namespace almondlever
