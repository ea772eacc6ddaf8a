#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace almondlever::soak {

enum class OddData {
    None,
    /** Blanks and words that look like those of messages. */
    Blanks,
    /** Also line ends and bytes that are not UTF-8. */
    All,
};

/**
 * Puts odd but allowed bytes into fields of messages: line ends, blanks, bytes that are not UTF-8, and text that looks
 * like messages; never CR LF, which ends a message. Draws from a generator of its own.
 */
class OddText {
public:
    OddText(OddData kind, std::uint64_t seed)
        : kind_(kind)
        , random_(seed)
    {
    }

    /** A field that others may follow; gets no blanks. */
    std::string changeWord(const std::string& plain);
    /** A field that extends to the end of its message. */
    std::string changeField(const std::string& plain);
    /** Names, values and shapes from a few, so that those of callers are the same or nearly so. */
    std::string makeName(const std::string& plain);
    std::string makeValue(const std::string& plain);
    std::string makeShape(const std::string& plain);
    /** A row that may look like the end of an answer. */
    std::string makeRow(const std::string& plain);
    std::size_t drawRows();

private:
    bool isOn() const { return kind_ != OddData::None; }
    /** The text without what its kind excludes, and without ends of messages. */
    std::string admit(const std::string& text) const;
    bool draw(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
    std::size_t drawIndex(std::size_t size) { return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_); }

    OddData kind_;
    std::mt19937_64 random_;
};

/** Shows bytes that cannot be printed as escapes. */
std::string escape(const std::string&);

} // namespace almondlever::soak
