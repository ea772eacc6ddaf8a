#pragma once

namespace almondlever {

/** Exit codes of almondleverctl, as its help states them. */
enum class ExitCode {
    Success = 0,
    /** Findings in the files, or the request was refused. */
    Refused = 1,
    /** Wrong flags or environment variables. */
    Usage = 2,
    /** Another operator's apply came first. */
    Conflict = 3,
    /** The key-value service or the daemon does not answer; nothing changed. */
    Unreachable = 4,
    /** An apply may or may not have taken effect. */
    OutcomeUnknown = 5,
};

} // namespace almondlever
