#pragma once

#include <map>
#include <string>

namespace almondlever {

/** What a prepared statement runs. Equal shapes are interchangeable whatever name a session gave them. */
struct PreparedShape {
    bool isWrite = false;
    std::string shape;

    friend bool operator==(const PreparedShape& a, const PreparedShape& b)
    {
        return a.isWrite == b.isWrite && a.shape == b.shape;
    }
};

/** Values and prepared statements that were acknowledged to the caller of a session. */
struct SessionContents {
    std::map<std::string, std::string> values;
    /** By the name that the caller chose; names of different sessions are independent. */
    std::map<std::string, PreparedShape> prepared;
};

} // namespace almondlever
