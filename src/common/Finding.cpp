#include "almondlever/common/Finding.h"

namespace almondlever {

std::string describe(const Finding& finding)
{
    std::string text = finding.file;
    if (finding.line > 0)
        text += ":" + std::to_string(finding.line);
    if (finding.line > 0 && finding.column > 0)
        text += ":" + std::to_string(finding.column);
    text += ": " + finding.problem;
    if (!finding.advice.empty())
        text += "; " + finding.advice;
    return text;
}

} // namespace almondlever
