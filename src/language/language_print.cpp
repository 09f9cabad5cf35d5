#include "language/language_func.h"
#include "language/language_table.h"
#include "language/language_value.h"

namespace Tanagertally {

namespace {

std::string_view comparatorSymbol(Comparator comparator)
{
    switch (comparator) {
    case Comparator::Equal:
        return "=";
    case Comparator::NotEqual:
        return "!=";
    case Comparator::Less:
        return "<";
    case Comparator::LessOrEqual:
        return "<=";
    case Comparator::Greater:
        return ">";
    case Comparator::GreaterOrEqual:
        return ">=";
    }
    return "=";
}

/** @return The precedence of a condition's operator; an operand of lower precedence needs parentheses. */
int precedenceOf(const Condition &condition)
{
    if (std::holds_alternative<AnyOf>(condition.node)) {
        return 0;
    }
    return std::holds_alternative<AllOf>(condition.node) ? 1 : 2;
}

/** Visitor that formats statements, conditions and values as text. */
struct Printer {
    std::string operator()(std::monostate /*unset*/) const
    {
        return "\"\"";
    }
    std::string operator()(const std::string &text) const
    {
        return printQuoted(text);
    }
    std::string operator()(double number) const
    {
        return printNumber(number);
    }
    std::string operator()(Duration duration) const
    {
        return printDuration(duration);
    }

    std::string operator()(const Comparison &comparison) const
    {
        const std::string value = std::visit(*this, comparison.value);
        return std::string(fieldName(comparison.field)) + " " + std::string(comparatorSymbol(comparison.comparator)) + " " + value;
    }
    std::string operator()(const AllOf &all) const
    {
        return this->join(all.parts, " and ", 2);
    }
    std::string operator()(const AnyOf &any) const
    {
        return this->join(any.parts, " or ", 1);
    }
    std::string operator()(const Negation &negation) const
    {
        return "not " + this->print(negation.part.front(), 2);
    }

    std::string operator()(const ShowRows &show) const
    {
        std::string text = "show " + std::string(subjectInfo(show.subject).name) + this->where(show.where);
        if (show.order) {
            text += " order by " + std::string(fieldName(show.order->field)) + (show.order->isDescending ? " desc" : " asc");
        }
        return show.limit ? text + " limit " + std::to_string(*show.limit) : text;
    }
    std::string operator()(const ShowCount &show) const
    {
        return "show count of " + std::string(subjectInfo(show.subject).name) + this->where(show.where);
    }
    std::string operator()(const ExplainJob &explain) const
    {
        return "explain job " + printQuoted(explain.key.value);
    }
    std::string operator()(const ExplainEndpoint &explain) const
    {
        return "explain endpoint " + printQuoted(explain.worker.value);
    }
    std::string operator()(const ExplainRefusal &explain) const
    {
        return "explain refusal " + std::to_string(explain.id.value);
    }
    std::string operator()(const CancelJob &cancel) const
    {
        return "cancel job " + printQuoted(cancel.key.value);
    }
    std::string operator()(const CancelJobs &cancel) const
    {
        return "cancel jobs where " + this->print(cancel.where, 0);
    }
    std::string operator()(const Drain &drain) const
    {
        constexpr std::string_view Targets[std::variant_size_v<DrainTarget>] = {"worker", "rack", "instance", "domain"};
        const std::string name = std::visit([](const auto &target) { return printQuoted(target.value); }, drain.target);
        const std::string verb = drain.isUndrain ? "undrain " : "drain ";
        return verb + std::string(Targets[drain.target.index()]) + " " + name + this->ifVersion(drain.ifVersion);
    }
    std::string operator()(const SetLimit &set) const
    {
        return "set limit kind " + printQuoted(set.kind.value) + " concurrency " + std::to_string(set.concurrency)
               + this->ifVersion(set.ifVersion);
    }
    std::string operator()(const SetQuota &set) const
    {
        return "set quota team " + printQuoted(set.team.value) + " " + std::to_string(set.quota) + this->ifVersion(set.ifVersion);
    }
    std::string operator()(const Reconfigure &reconfigure) const
    {
        return "reconfigure " + reconfigure.json + this->ifVersion(reconfigure.ifVersion);
    }

private:
    std::string print(const Condition &condition, int minPrecedence) const
    {
        const std::string text = std::visit(*this, condition.node);
        return precedenceOf(condition) < minPrecedence ? "(" + text + ")" : text;
    }
    std::string join(const std::vector<Condition> &parts, std::string_view separator, int minPrecedence) const
    {
        std::string text;
        for (const Condition &part : parts) {
            text += (text.empty() ? "" : std::string(separator)) + this->print(part, minPrecedence);
        }
        return text;
    }
    std::string where(const std::optional<Condition> &condition) const
    {
        return condition ? " where " + this->print(*condition, 0) : "";
    }
    static std::string ifVersion(const std::optional<ConfigVersion> &version)
    {
        return version ? " if version " + std::to_string(version->value) : "";
    }
};

} // namespace

std::string printStatement(const Statement &statement)
{
    return std::visit(Printer(), statement);
}

} // namespace Tanagertally
