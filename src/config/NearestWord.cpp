#include "NearestWord.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Longer words are skipped: the cost of a comparison is proportional to the product of the lengths. */
    constexpr std::size_t maximumComparedCharacters = 64;

} // namespace

std::size_t editDistance(const std::string& left, const std::string& right)
{
    std::vector<std::vector<std::size_t>> cost(left.size() + 1, std::vector<std::size_t>(right.size() + 1));
    for (std::size_t i = 0; i <= left.size(); ++i) {
        for (std::size_t j = 0; j <= right.size(); ++j) {
            if (i == 0 || j == 0) {
                cost[i][j] = i + j;
                continue;
            }
            const std::size_t replaced = cost[i - 1][j - 1] + (left[i - 1] == right[j - 1] ? 0 : 1);
            cost[i][j] = std::min({ cost[i - 1][j] + 1, cost[i][j - 1] + 1, replaced });
            const bool isSwap = i > 1 && j > 1 && left[i - 1] == right[j - 2] && left[i - 2] == right[j - 1];
            if (isSwap)
                cost[i][j] = std::min(cost[i][j], cost[i - 2][j - 2] + 1);
        }
    }
    return cost[left.size()][right.size()];
}

std::string nearestWord(const std::string& word, const std::vector<std::string>& candidates)
{
    if (word.size() > maximumComparedCharacters)
        return {};
    std::string nearest;
    std::size_t distanceLimit = word.size() / 3 + 2;
    for (const std::string& candidate : candidates) {
        if (candidate.size() > maximumComparedCharacters)
            continue;
        const std::size_t distance = editDistance(word, candidate);
        if (distance >= distanceLimit || distance >= candidate.size())
            continue;
        distanceLimit = distance;
        nearest = candidate;
    }
    return nearest;
}

} // namespace almondlever
