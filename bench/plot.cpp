#include "plot.h"

#include <fmt/format.h>

#include <cmath>

namespace Tanagertally {

namespace {

constexpr double Width = 640;
constexpr double Height = 360;
constexpr double Margin = 50;
constexpr double Nines = 4; // decades of the tail on the horizontal axis
constexpr double MostRatio = 100; // top of the vertical axis
constexpr int Steps = 80;
constexpr std::array<std::string_view, 8> Colours
    = {"#1b6ca8", "#c0392b", "#27803b", "#8e44ad", "#d68910", "#117a65", "#7b7d7d", "#000000"};

double xOf(double nines)
{
    return Margin + nines / Nines * (Width - 2 * Margin);
}

double yOf(double ratio)
{
    const double share = std::log10(std::clamp(ratio, 1.0, MostRatio)) / std::log10(MostRatio);
    return Height - Margin - share * (Height - 2 * Margin);
}

std::string label(double x, double y, std::string_view text, std::string_view colour = "#000000")
{
    return fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" font-size=\"11\" font-family=\"sans-serif\" fill=\"{}\">{}</text>\n", x, y, colour,
                       text);
}

std::string axes()
{
    std::string svg;
    constexpr std::array<std::string_view, 5> Shares = {"0", "90%", "99%", "99.9%", "99.99%"};
    for (std::size_t nines = 0; nines < Shares.size(); ++nines) {
        const double x = xOf(static_cast<double>(nines));
        svg += fmt::format("<path d=\"M{0:.1f} {1} V{2}\" stroke=\"#ddd\"/>\n", x, Margin, Height - Margin);
        svg += label(x - 12, Height - Margin + 16, Shares.at(nines));
    }
    for (const double ratio : {1.0, 2.0, 5.0, 10.0, 100.0}) {
        svg += fmt::format("<path d=\"M{0} {1:.1f} H{2}\" stroke=\"#ddd\"/>\n", Margin, yOf(ratio), Width - Margin);
        svg += label(Margin - 30, yOf(ratio) + 4, fmt::format("{}", ratio));
    }
    return svg;
}

std::string curve(const Histogram<10> &ratio, std::string_view colour)
{
    std::string points;
    for (int step = 0; step <= Steps; ++step) {
        const double nines = Nines * step / Steps;
        const double fraction = 1.0 - std::pow(10.0, -nines);
        points += fmt::format("{:.1f},{:.1f} ", xOf(nines), yOf(static_cast<double>(ratio.quantile(fraction)) / RatioUnit));
    }
    return fmt::format("<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>\n", points, colour);
}

} // namespace

std::string makePlot(std::span<const RunResult> results, const std::string &title)
{
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\">\n", Width, Height);
    svg += "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n" + label(Margin, 20, title);
    svg += label(Margin, 36, "response time / ideal, by share of jobs") + axes();
    for (std::size_t index = 0; index < results.size(); ++index) {
        const std::string_view colour = Colours.at(index % Colours.size());
        svg += curve(results[index].figures.ratio, colour);
        svg += label(Margin + 8, Margin + 14 + 14 * static_cast<double>(index), results[index].policy, colour);
    }
    return svg + "</svg>\n";
}

} // namespace Tanagertally
