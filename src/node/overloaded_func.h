/** Combines several function objects into one visitor. */
#pragma once

namespace Tanagertally::Cells {

/** A visitor for std::visit with one function object for each alternative. */
template<typename... Cases>
struct Overloaded : Cases... {
    using Cases::operator()...;
};

template<typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace Tanagertally::Cells
