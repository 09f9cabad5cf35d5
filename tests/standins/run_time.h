/** Run times of tasks: a distribution for each kind of request, drawn repeatably. */
#pragma once

#include "core/random_base.h"
#include "duration_func.h"

#include <map>
#include <string>

namespace Tanagertally::Standins {

/** Shape of a distribution of run times. */
enum class RunTimeShape : std::uint8_t {
    Fixed, ///< Always the same.
    Exponential, ///< Exponential with a mean.
    Lognormal, ///< Lognormal with a median and the sigma of its logarithm.
};

/** Distribution of the run times of one kind. */
struct RunTimeSpec {
    RunTimeShape shape = RunTimeShape::Fixed; ///< Its shape.
    Duration scale = std::chrono::milliseconds(50); ///< The value, mean or median.
    double sigma = 0.0; ///< Sigma; lognormal only.
};

/** A kind of request with its run times. */
struct KindSpec {
    std::string name; ///< Name of the kind.
    RunTimeSpec runTime; ///< Its run times.
};

/**
 * Read a distribution: "fixed:50ms", "exponential:50ms" or "lognormal:50ms:0.8".
 * @param text The text.
 * @return The distribution, or an error that says what was expected.
 * Thread safety: any thread.
 */
Result<RunTimeSpec> parseRunTime(std::string_view text);

/**
 * Read a kind with its distribution, such as "lookup:exponential:50ms".
 * @param text The text.
 * @return The kind, or an error that says what was expected.
 * Thread safety: any thread.
 */
Result<KindSpec> parseKind(std::string_view text);

/** Draw a run time. Thread safety: as the engine. */
Duration drawRunTime(const RunTimeSpec &spec, RandomEngine &engine);

/** Draw whether something of a probability happens. Thread safety: as the engine. */
bool drawChance(double probability, RandomEngine &engine);

/** @return A hash that is the same in every run. Thread safety: any thread. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed);

} // namespace Tanagertally::Standins
