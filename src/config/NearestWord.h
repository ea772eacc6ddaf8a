#pragma once

#include <string>
#include <vector>

namespace almondlever {

/** Number of insertions, deletions, replacements and swaps of neighbours that turn one word into the other. */
std::size_t editDistance(const std::string& left, const std::string& right);

/** The candidate that a misspelled word most likely stands for; empty when none is near. */
std::string nearestWord(const std::string& word, const std::vector<std::string>& candidates);

} // namespace almondlever
