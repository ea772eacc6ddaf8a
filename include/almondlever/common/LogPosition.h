#pragma once

#include <cstdint>
#include <ostream>
#include <tuple>

namespace almondlever {

/** Number of a database group's leadership period; increases with each primary change. Zero means none. */
using Term = std::uint64_t;

/**
 * Position of an entry in the log of a database group. Compared by term first: a log whose last entry has a later term
 * contains every acknowledged entry of the earlier terms.
 */
struct LogPosition {
    Term term = 0;
    std::uint64_t index = 0;

    friend bool operator==(const LogPosition& a, const LogPosition& b)
    {
        return a.term == b.term && a.index == b.index;
    }
    friend bool operator!=(const LogPosition& a, const LogPosition& b) { return !(a == b); }
    friend bool operator<(const LogPosition& a, const LogPosition& b)
    {
        return std::tie(a.term, a.index) < std::tie(b.term, b.index);
    }
    friend bool operator<=(const LogPosition& a, const LogPosition& b) { return !(b < a); }
    friend bool operator>(const LogPosition& a, const LogPosition& b) { return b < a; }
    friend bool operator>=(const LogPosition& a, const LogPosition& b) { return !(a < b); }
    friend std::ostream& operator<<(std::ostream& stream, const LogPosition& position)
    {
        return stream << position.term << '/' << position.index;
    }
};

} // namespace almondlever
