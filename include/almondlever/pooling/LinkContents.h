#pragma once

#include "almondlever/pooling/EndpointLink.h"

#include <set>
#include <vector>

namespace almondlever {

/**
 * What an endpoint connection holds of session values and prepared statements, and the commands that make it hold what
 * a session needs. Prepared statements are named after what they run, so that sessions share them.
 */
class LinkContents {
public:
    /** The proxy's name on the endpoint for a prepared shape. */
    static std::string nameOnEndpoint(const PreparedStatement&);

    /**
     * Commands that must succeed before the statement is sent; the contents are changed as if they had. The statement
     * needs no more than the session's values and its own prepared shape.
     */
    std::vector<EndpointCommand> match(const SessionContents&, const Statement&);
    /** Number of commands that match() would give; a pool prefers the connection with the fewest. */
    std::size_t countDifferences(const SessionContents&) const;
    /** The endpoint may have undone changes, as a rollback does with those made inside the transaction. */
    void invalidate() { isKnown_ = false; }

private:
    bool hasForeignValue(const SessionContents&) const;

    std::map<std::string, std::string> values_;
    std::set<std::string> preparedNames_;
    bool isKnown_ = true;
};

} // namespace almondlever
