#pragma once

#include "YamlReader.h"

namespace almondlever {

/** One rank as written in the rules. */
struct RankEntry {
    Placed<std::string> name;
    /** Per cent, 0 to 100. */
    Placed<double> floor;
    Placed<Milliseconds> deadline;
    Placed<std::size_t> queueRequests;
    Placed<std::size_t> queueBytes;
};

/** The rules of one caller as written. */
struct CallerRuleEntry {
    Placed<std::string> name;
    Placed<std::string> rank;
    Placed<bool> readYourWrites;
    Placed<Milliseconds> maxStaleness;
};

/** The rules with the place of each value. A list that could not be read is not valid. */
struct RulesEntries {
    Placed<std::vector<RankEntry>> ranks;
    Placed<std::vector<CallerRuleEntry>> callers;
};

/** Reads the rules; every fault that shows in a single value is reported. */
RulesEntries readRules(const std::string& text, FindingSink&);

} // namespace almondlever
