#include "run_time.h"

#include <boost/outcome/try.hpp>
#include <cmath>
#include <random>

namespace Tanagertally::Standins {

namespace {

constexpr std::string_view Expected = "expected fixed:TIME, exponential:MEAN or lognormal:MEDIAN:SIGMA";

/** Cut off the part of a text before a colon. */
std::string_view takePart(std::string_view &rest)
{
    const std::size_t colon = rest.find(':');
    const std::string_view part = rest.substr(0, colon);
    rest = colon == std::string_view::npos ? std::string_view() : rest.substr(colon + 1);
    return part;
}

Error badRunTime(std::string_view text)
{
    return makeError(ErrorCode::BadInput, std::string(Expected) + ", not '" + std::string(text) + "'", std::string(text));
}

Result<double> parseSigma(std::string_view text)
{
    const std::string copy(text);
    char *end = nullptr;
    const double sigma = std::strtod(copy.c_str(), &end);
    if (copy.empty() || *end != '\0' || !(sigma >= 0.0)) {
        return badRunTime(text);
    }
    return sigma;
}

} // namespace

Result<RunTimeSpec> parseRunTime(std::string_view text)
{
    std::string_view rest = text;
    const std::string_view shape = takePart(rest);
    RunTimeSpec spec;
    if (shape == "lognormal") {
        spec.shape = RunTimeShape::Lognormal;
    } else if (shape == "exponential") {
        spec.shape = RunTimeShape::Exponential;
    } else if (shape != "fixed") {
        return badRunTime(text);
    }
    BOOST_OUTCOME_TRY(spec.scale, parseDuration(takePart(rest)));
    if (spec.shape == RunTimeShape::Lognormal) {
        BOOST_OUTCOME_TRY(spec.sigma, parseSigma(takePart(rest)));
    }
    if (!rest.empty()) {
        return badRunTime(text);
    }
    return spec;
}

Result<KindSpec> parseKind(std::string_view text)
{
    std::string_view rest = text;
    KindSpec kind;
    kind.name = takePart(rest);
    if (kind.name.empty()) {
        return badRunTime(text);
    }
    BOOST_OUTCOME_TRY(kind.runTime, parseRunTime(rest));
    return kind;
}

Duration drawRunTime(const RunTimeSpec &spec, RandomEngine &engine)
{
    switch (spec.shape) {
    case RunTimeShape::Fixed:
        return spec.scale;
    case RunTimeShape::Exponential:
        return scale(spec.scale, std::exponential_distribution<double>(1.0)(engine));
    case RunTimeShape::Lognormal:
        return scale(spec.scale, std::exp(spec.sigma * std::normal_distribution<double>()(engine)));
    }
    return spec.scale;
}

bool drawChance(double probability, RandomEngine &engine)
{
    return probability > 0.0 && std::uniform_real_distribution<double>()(engine) < probability;
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t Basis = 14695981039346656037ULL;
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = Basis ^ (seed * 0x9E3779B97F4A7C15ULL);
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * Prime;
    }
    return hash ^ (hash >> 29U);
}

} // namespace Tanagertally::Standins
