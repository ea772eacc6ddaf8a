#pragma once

#include "almondlever/pooling/EndpointLink.h"

#include <set>
#include <vector>

namespace almondlever {

/**
 * Tracks the session values and prepared statements that are set on an endpoint connection, and produces the commands
 * that bring it to the state a session needs. Prepared statements are named after their shape, so that sessions share
 * them.
 */
class LinkContents {
public:
    /** The name under which the proxy prepares a shape on endpoints. */
    static std::string nameOnEndpoint(const PreparedStatement&);

    /**
     * Returns the commands that must succeed before the statement is sent, and updates the contents as if they had.
     * Only the session's values and the statement's own prepared shape are set up.
     */
    std::vector<EndpointCommand> prepareFor(const SessionContents&, const Statement&);
    /** Number of commands needed for the session's values; the pool prefers the connection with the fewest. */
    std::size_t countDifferences(const SessionContents&) const;
    /** Marks the contents as unknown: a rollback undoes changes that were made inside the transaction. */
    void invalidate() { isKnown_ = false; }

private:
    bool hasForeignValue(const SessionContents&) const;

    std::map<std::string, std::string> values_;
    std::set<std::string> preparedNames_;
    bool isKnown_ = true;
};

} // namespace almondlever
