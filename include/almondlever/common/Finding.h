#pragma once

#include <string>
#include <vector>

namespace almondlever {

/** One fault in a file or setting, with its place and what would be right. Findings are reported all together. */
struct Finding {
    /** Path of the file, or the name of the flag or environment variable. */
    std::string file;
    /** Line counted from 1; 0 when the finding concerns the whole file. */
    int line = 0;
    /** Column counted from 1; 0 when unknown. */
    int column = 0;
    /** What is wrong. */
    std::string problem;
    /** What would be right. */
    std::string advice;
};

using Findings = std::vector<Finding>;

/** One line "file:line:column: problem; advice". */
std::string describe(const Finding& finding);

} // namespace almondlever
