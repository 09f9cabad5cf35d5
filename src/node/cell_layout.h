/** Division of the endpoints of a failure domain into cells. */
#pragma once

#include "cells/fleet_type.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Tanagertally::Cells {

/** Number of cells of a failure domain. It is stored once and never changed, so that all instances agree on the cell of an endpoint. */
struct DomainLayout {
    FailureDomain domain;
    std::uint32_t cellCount = 1; ///< At least 1.
};

/**
 * Choose the number of cells of a failure domain. Several leaders share the orders of a large domain; a small domain stays whole, as wide
 * jobs fit better into one large cell.
 * @param endpointCount Endpoints of the domain.
 * @return At least 1.
 * Thread safety: any thread.
 */
std::uint32_t chooseCellCount(std::size_t endpointCount);

/**
 * Return the names of a domain's cells. The only cell of an undivided domain has the domain's name.
 * Thread safety: any thread.
 */
std::vector<CellName> cellsOf(const DomainLayout &layout);

/**
 * Return the name of an endpoint's cell. Endpoints of a rack share a cell, so that the tasks of a job near its data fit into one cell.
 * @pre The endpoint is in the layout's domain.
 * Thread safety: any thread.
 */
CellName cellOf(const DomainLayout &layout, const EndpointRecord &endpoint);

} // namespace Tanagertally::Cells
