/** The verdict: whether a request is known to have run. */
#pragma once

#include <cstdint>
#include <string_view>

namespace Tanagertally {

/** Whether a request, task or submission may have run. Every answer, refusal and error carries one. */
enum class Verdict : std::uint8_t {
    NotRun, ///< It did not run and will not run under this submission.
    MayHaveRun, ///< It may have run: part of the request may have been delivered and no answer was received.
    Ran, ///< It ran: the endpoint answered.
};

/** @return The verdict as written in answers: "not-run", "may-have-run" or "ran". */
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
 * Combines the verdicts of two attempts at one request into the stronger one.
 * Ran takes precedence over MayHaveRun, which takes precedence over NotRun: NotRun is evidence about one attempt only.
 * @param first Verdict of one attempt.
 * @param second Verdict of another attempt.
 * @return The verdict on the request as a whole.
 */
constexpr Verdict combine(Verdict first, Verdict second)
{
    return first > second ? first : second;
}

} // namespace Tanagertally
