#include "node/cell_layout.h"

#include "cells/store_rows.h"
#include "core/hash_func.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace Tanagertally::Cells {

namespace {

constexpr std::size_t EndpointsPerCell = 45; // A leader with half a core serves them with a margin for bursts of twice the usual load.

CellName nameOf(const DomainLayout &layout, std::uint32_t index)
{
    return CellName(layout.cellCount == 1 ? layout.domain.value : layout.domain.value + "/" + std::to_string(index + 1));
}

/** @return Number at the end of a label, which spreads consecutive racks evenly over cells; a hash of a label without one. */
std::uint64_t numberOf(std::string_view label)
{
    const std::size_t lastOther = label.find_last_not_of("0123456789");
    const std::string_view digits = label.substr(lastOther == std::string_view::npos ? 0 : lastOther + 1);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return error == std::errc() ? number : stableHash(label);
}

} // namespace

std::uint32_t chooseCellCount(std::size_t endpointCount)
{
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(endpointCount / EndpointsPerCell, 1, MaxCellsPerDomain));
}

std::vector<CellName> cellsOf(const DomainLayout &layout)
{
    std::vector<CellName> names;
    for (std::uint32_t index = 0; index < layout.cellCount; ++index) {
        names.push_back(nameOf(layout, index));
    }
    return names;
}

CellName cellOf(const DomainLayout &layout, const EndpointRecord &endpoint)
{
    assert(endpoint.domain == layout.domain);
    const std::uint64_t number = endpoint.labels.empty() ? stableHash(endpoint.name.value) : numberOf(endpoint.labels.back());
    return nameOf(layout, static_cast<std::uint32_t>(number % layout.cellCount));
}

} // namespace Tanagertally::Cells
