#include "language/language_scanner.h"

#include <string_view>

namespace Tanagertally {

namespace {

/** Characters of words: names, keys, addresses, numbers and durations. */
bool isWordCharacter(char character)
{
    constexpr std::string_view Marks = "_.:/#@+~%-";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || Marks.find(character) != std::string_view::npos;
}

bool scanCharacter(char character, TextPlace &first, TextPlace last)
{
    if (first == last || *first != character) {
        return false;
    }
    ++first;
    return true;
}

} // namespace

bool scanWord(TextPlace &first, TextPlace last)
{
    const TextPlace start = first;
    while (first != last && isWordCharacter(*first)) {
        ++first;
    }
    return first != start;
}

bool scanQuoted(TextPlace &first, TextPlace last)
{
    TextPlace place = first;
    if (place == last || *place != '"') {
        return false;
    }
    for (++place; place != last && *place != '"'; ++place) {
        if (*place == '\\' && ++place == last) {
            return false;
        }
    }
    if (place == last) {
        return false;
    }
    first = place + 1;
    return true;
}

bool scanOpening(TextPlace &first, TextPlace last)
{
    return scanCharacter('(', first, last);
}

bool scanClosing(TextPlace &first, TextPlace last)
{
    return scanCharacter(')', first, last);
}

bool scanEnd(TextPlace &first, TextPlace last)
{
    return first == last;
}

bool scanToken(TextPlace &first, TextPlace last)
{
    return scanQuoted(first, last) || scanWord(first, last);
}

bool scanDocument(TextPlace &first, TextPlace last)
{
    TextPlace place = first;
    std::size_t depth = 0;
    do {
        if (place == last || (depth == 0 && *place != '{')) {
            return false;
        }
        if (*place == '"') {
            if (!scanQuoted(place, last)) {
                return false;
            }
            continue;
        }
        depth += *place == '{' ? 1 : 0;
        depth -= *place == '}' ? 1 : 0;
        ++place;
    } while (depth > 0);
    first = place;
    return true;
}

bool scanComparator(TextPlace &first, TextPlace last)
{
    for (const std::string_view comparator : {"!=", "<=", ">=", "=", "<", ">"}) {
        if (std::string_view(first, static_cast<std::size_t>(last - first)).starts_with(comparator)) {
            first += comparator.size();
            return true;
        }
    }
    return false;
}

} // namespace Tanagertally
