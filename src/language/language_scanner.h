/** The tokens of the operators' language. Each function takes one token, or leaves `first` as it is and returns false. */
#pragma once

namespace Tanagertally {

using TextPlace = const char *; ///< A place in the text.

/** Take a word: letters, digits and the marks of names, keys, addresses, numbers and durations. */
bool scanWord(TextPlace &first, TextPlace last);

/** Take a text in double quotes, in which a backslash escapes the next character. */
bool scanQuoted(TextPlace &first, TextPlace last);

/** Take a word or a quoted text. */
bool scanToken(TextPlace &first, TextPlace last);

/** Take a comparator, such as "<=". */
bool scanComparator(TextPlace &first, TextPlace last);

/** Take text from an opening brace to the closing one that matches; braces in quotes don't count. */
bool scanDocument(TextPlace &first, TextPlace last);

/** Take "(". */
bool scanOpening(TextPlace &first, TextPlace last);

/** Take ")". */
bool scanClosing(TextPlace &first, TextPlace last);

/** Take nothing, at the end of the text only. */
bool scanEnd(TextPlace &first, TextPlace last);

} // namespace Tanagertally
