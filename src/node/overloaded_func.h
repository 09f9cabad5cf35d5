/** Makes one visitor of several functions. */
#pragma once

namespace Tanagertally::Cells {

/** A visitor for std::visit with a function for each alternative. */
template<typename... Cases>
struct Overloaded : Cases... {
    using Cases::operator()...;
};

template<typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace Tanagertally::Cells
