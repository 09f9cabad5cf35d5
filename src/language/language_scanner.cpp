#include "language/language_scanner.h"

#include <string_view>

namespace Tanagertally {

namespace {

/** @return Whether a word, which is a name, a key, an address, a number or a duration, may contain the character. */
bool isWordCharacter(char character)
{
    constexpr std::string_view Punctuation = "_.:/#@+~%-";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || Punctuation.find(character) != std::string_view::npos;
}

bool scanCharacter(char character, TextIterator &first, TextIterator last)
{
    if (first == last || *first != character) {
        return false;
    }
    ++first;
    return true;
}

} // namespace

bool scanWord(TextIterator &first, TextIterator last)
{
    const TextIterator start = first;
    while (first != last && isWordCharacter(*first)) {
        ++first;
    }
    return first != start;
}

bool scanQuoted(TextIterator &first, TextIterator last)
{
    TextIterator position = first;
    if (position == last || *position != '"') {
        return false;
    }
    for (++position; position != last && *position != '"'; ++position) {
        if (*position == '\\' && ++position == last) {
            return false;
        }
    }
    if (position == last) {
        return false;
    }
    first = position + 1;
    return true;
}

bool scanOpeningParenthesis(TextIterator &first, TextIterator last)
{
    return scanCharacter('(', first, last);
}

bool scanClosingParenthesis(TextIterator &first, TextIterator last)
{
    return scanCharacter(')', first, last);
}

bool scanEnd(TextIterator &first, TextIterator last)
{
    return first == last;
}

bool scanWordOrQuoted(TextIterator &first, TextIterator last)
{
    return scanQuoted(first, last) || scanWord(first, last);
}

bool scanDocument(TextIterator &first, TextIterator last)
{
    TextIterator position = first;
    std::size_t depth = 0;
    do {
        if (position == last || (depth == 0 && *position != '{')) {
            return false;
        }
        if (*position == '"') {
            if (!scanQuoted(position, last)) {
                return false;
            }
            continue;
        }
        depth += *position == '{' ? 1 : 0;
        depth -= *position == '}' ? 1 : 0;
        ++position;
    } while (depth > 0);
    first = position;
    return true;
}

bool scanComparator(TextIterator &first, TextIterator last)
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
