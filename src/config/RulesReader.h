#pragma once

#include "YamlReader.h"

namespace almondlever {

/** One rank as written in the rules. */
struct RankEntry {
    Located<std::string> name;
    /** Per cent, 0 to 100. */
    Located<double> floor;
    Located<Milliseconds> deadline;
    Located<std::size_t> queueRequests;
    Located<std::size_t> queueBytes;
};

/** The rules of one caller as written. */
struct CallerRuleEntry {
    Located<std::string> name;
    Located<std::string> rank;
    Located<bool> readYourWrites;
    Located<Milliseconds> maxStaleness;
};

/** The parsed rules with the source location of each value. A list that could not be read is not valid. */
struct RulesEntries {
    Located<std::vector<RankEntry>> ranks;
    Located<std::vector<CallerRuleEntry>> callers;
};

/** Parses the rules and reports every value that is invalid on its own. */
RulesEntries readRules(const std::string& text, FindingSink&);

} // namespace almondlever
