/** Strong typedefs: identifier types that don't convert to each other or to their underlying type. */
#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Tanagertally {

/** A strongly typed integer identifier. Each Tag yields a distinct type. */
template<typename Tag, std::integral Rep = std::uint64_t>
struct StrongInt {
    Rep value{};

    constexpr StrongInt() = default;
    constexpr explicit StrongInt(Rep number)
        : value(number)
    {
    }
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison.
    friend constexpr auto operator<=>(const StrongInt &, const StrongInt &) = default;
};

/** A strongly typed text identifier. Each Tag yields a distinct type. */
template<typename Tag>
struct StrongString {
    std::string value;

    StrongString() = default;
    explicit StrongString(std::string text)
        : value(std::move(text))
    {
    }
    /** @return Whether the text is empty, which stands for an unset identifier. */
    bool empty() const
    {
        return this->value.empty();
    }
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison.
    friend auto operator<=>(const StrongString &, const StrongString &) = default;
};

} // namespace Tanagertally

/** Hash of a strongly typed integer. */
template<typename Tag, typename Rep>
struct std::hash<Tanagertally::StrongInt<Tag, Rep>> {
    std::size_t operator()(const Tanagertally::StrongInt<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value);
    }
};

/** Hash of a strongly typed text. */
template<typename Tag>
struct std::hash<Tanagertally::StrongString<Tag>> {
    std::size_t operator()(const Tanagertally::StrongString<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
