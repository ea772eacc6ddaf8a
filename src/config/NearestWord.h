#pragma once

#include <string>
#include <vector>

namespace almondlever {

/**
 * Edit distance (optimal string alignment): the number of insertions, deletions, substitutions and transpositions of
 * adjacent characters that turn one word into the other.
 */
std::size_t editDistance(const std::string& left, const std::string& right);

/** The candidate with the smallest edit distance to a misspelled word; empty when none is close enough. */
std::string nearestWord(const std::string& word, const std::vector<std::string>& candidates);

} // namespace almondlever
