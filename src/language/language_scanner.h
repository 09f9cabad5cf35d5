/**
 * Scanner of the operators' language. Each function matches one token at `first`: on a match it advances `first` past the token and
 * returns true, otherwise it leaves `first` unchanged and returns false.
 */
#pragma once

namespace Tanagertally {

using TextIterator = const char *; ///< Position in the text of a statement.

/** Match a word: letters, digits and the punctuation of names, keys, addresses, numbers and durations. */
bool scanWord(TextIterator &first, TextIterator last);

/** Match a text in double quotes, in which a backslash escapes the next character. */
bool scanQuoted(TextIterator &first, TextIterator last);

/** Match a word or a quoted text. */
bool scanWordOrQuoted(TextIterator &first, TextIterator last);

/** Match a comparator, such as "<=". */
bool scanComparator(TextIterator &first, TextIterator last);

/** Match text from an opening brace to the matching closing brace; braces inside quoted texts are ignored. */
bool scanDocument(TextIterator &first, TextIterator last);

/** Match "(". */
bool scanOpeningParenthesis(TextIterator &first, TextIterator last);

/** Match ")". */
bool scanClosingParenthesis(TextIterator &first, TextIterator last);

/** Match the end of the text, without advancing `first`. */
bool scanEnd(TextIterator &first, TextIterator last);

} // namespace Tanagertally
