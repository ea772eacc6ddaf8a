#pragma once

#include <string>
#include <vector>

namespace almondlever {

/** One error in a file or setting, with its location and a suggested correction. All findings of a check are reported
 * together. */
struct Finding {
    /** Path of the file, or the name of the flag or environment variable. */
    std::string file;
    /** Line counted from 1; 0 when the finding concerns the whole file. */
    int line = 0;
    /** Column counted from 1; 0 when unknown. */
    int column = 0;
    /** What is wrong. */
    std::string problem;
    /** How to correct it. */
    std::string advice;
};

using Findings = std::vector<Finding>;

/** Formats a finding as one line, "file:line:column: problem; advice". */
std::string describe(const Finding& finding);

} // namespace almondlever
