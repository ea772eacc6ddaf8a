#pragma once

#include <map>
#include <string>
#include <tuple>

namespace almondlever {

/** The content of a prepared statement. Equal ones are interchangeable, whatever names sessions gave them. */
struct PreparedStatement {
    bool isWrite = false;
    std::string shape;

    friend bool operator==(const PreparedStatement& a, const PreparedStatement& b)
    {
        return a.isWrite == b.isWrite && a.shape == b.shape;
    }
    friend bool operator<(const PreparedStatement& a, const PreparedStatement& b)
    {
        return std::tie(a.isWrite, a.shape) < std::tie(b.isWrite, b.shape);
    }
};

/** The session values and prepared statements that were acknowledged to the caller. */
struct SessionContents {
    std::map<std::string, std::string> values;
    /** Keyed by the name that the caller chose. Names of different sessions are independent. */
    std::map<std::string, PreparedStatement> prepared;

    /** Total size of all names, values and shapes. */
    std::size_t bytes() const
    {
        std::size_t total = 0;
        for (const auto& [name, value] : values)
            total += name.size() + value.size();
        for (const auto& [name, statement] : prepared)
            total += name.size() + statement.shape.size();
        return total;
    }
};

} // namespace almondlever
