#pragma once

namespace almondlever {

/** What is known about the effect of a request that ends in an error. */
enum class Outcome {
    /** The request certainly had no effect. */
    NotRun,
    /** The request took effect although an error is reported. */
    Run,
    /** The request may or may not have taken effect. */
    Unknown,
};

/** Stable name used in responses and logs: "not_run", "run" or "unknown". */
inline const char* toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Run:
        return "run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace almondlever
