#include "language/language_func.h"

#include <algorithm>
#include <compare>

namespace Tanagertally {

namespace {

const Value UnsetValue; ///< Returned by fieldValue() for a field that the row lacks.

/** @return The order of two values; unordered if their types differ or either is unset. */
std::partial_ordering compare(const Value &first, const Value &second)
{
    if (first.index() != second.index() || std::holds_alternative<std::monostate>(first)) {
        return std::partial_ordering::unordered;
    }
    if (const auto *text = std::get_if<std::string>(&first)) {
        return text->compare(std::get<std::string>(second)) <=> 0;
    }
    if (const auto *number = std::get_if<double>(&first)) {
        return *number <=> std::get<double>(second);
    }
    return std::get<Duration>(first).count() <=> std::get<Duration>(second).count();
}

/** @return Whether `comparator` accepts two values that are in this order. */
bool isSatisfied(Comparator comparator, std::partial_ordering order)
{
    switch (comparator) {
    case Comparator::Equal:
        return std::is_eq(order);
    case Comparator::NotEqual:
        return !std::is_eq(order);
    case Comparator::Less:
        return std::is_lt(order);
    case Comparator::LessOrEqual:
        return std::is_lteq(order);
    case Comparator::Greater:
        return std::is_gt(order);
    case Comparator::GreaterOrEqual:
        return std::is_gteq(order);
    }
    return false;
}

/** Visitor that evaluates the root node of a condition on a row. */
struct Evaluator {
    const Row &row; ///< Row to evaluate the condition on; must outlive the visitor.

    bool operator()(const Comparison &comparison) const
    {
        return isSatisfied(comparison.comparator, compare(fieldValue(this->row, comparison.field), comparison.value));
    }
    bool operator()(const AllOf &all) const
    {
        return std::ranges::all_of(all.parts, [this](const Condition &part) { return matchesCondition(part, this->row); });
    }
    bool operator()(const AnyOf &any) const
    {
        return std::ranges::any_of(any.parts, [this](const Condition &part) { return matchesCondition(part, this->row); });
    }
    bool operator()(const Negation &negation) const
    {
        return !matchesCondition(negation.part.front(), this->row);
    }
};

/** @return Whether `first` sorts before `second`. Rows that lack the field sort last in both directions. */
bool isBefore(const Ordering &order, const Row &first, const Row &second)
{
    const Value &firstValue = fieldValue(first, order.field);
    const Value &secondValue = fieldValue(second, order.field);
    if (std::holds_alternative<std::monostate>(firstValue)) {
        return false;
    }
    if (std::holds_alternative<std::monostate>(secondValue)) {
        return true;
    }
    const std::partial_ordering comparison = compare(firstValue, secondValue);
    return order.isDescending ? std::is_gt(comparison) : std::is_lt(comparison);
}

} // namespace

const Value &fieldValue(const Row &row, Field field)
{
    const auto found = std::ranges::find(row, field, &std::pair<Field, Value>::first);
    return found == row.end() ? UnsetValue : found->second;
}

bool matchesCondition(const Condition &condition, const Row &row)
{
    return std::visit(Evaluator{row}, condition.node);
}

std::vector<Row> selectRows(const ShowRows &query, std::vector<Row> rows)
{
    if (query.where) {
        std::erase_if(rows, [&](const Row &row) { return !matchesCondition(*query.where, row); });
    }
    if (query.order) {
        std::ranges::stable_sort(rows, [&](const Row &first, const Row &second) { return isBefore(*query.order, first, second); });
    }
    if (query.limit && rows.size() > *query.limit) {
        rows.resize(*query.limit);
    }
    return rows;
}

std::size_t countRows(const ShowCount &query, std::span<const Row> rows)
{
    const auto isCounted = [&](const Row &row) { return !query.where || matchesCondition(*query.where, row); };
    return static_cast<std::size_t>(std::ranges::count_if(rows, isCounted));
}

} // namespace Tanagertally
