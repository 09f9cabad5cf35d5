/** The verdict: what is known about whether a request has run. */
#pragma once

#include <cstdint>
#include <string_view>

namespace Tanagertally {

/** Whether a request, task or submission may have run. Every answer, refusal and error carries one. */
enum class Verdict : std::uint8_t {
    NotRun, ///< It certainly did not run and will not run under this submission.
    MayHaveRun, ///< It may have run: a byte of it may have been delivered and no answer came.
    Ran, ///< It ran: the endpoint answered.
};

/** @return The name of a verdict as callers see it: "not-run", "may-have-run" or "ran". */
constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

/**
 * Combine the verdicts of two attempts at one request.
 * Evidence that it ran outweighs doubt, and doubt outweighs evidence about one attempt that it did not run.
 * @param first Verdict of one attempt.
 * @param second Verdict of another attempt.
 * @return The verdict on the request as a whole.
 */
constexpr Verdict combine(Verdict first, Verdict second)
{
    return first > second ? first : second;
}

} // namespace Tanagertally
