/** The subjects of the operators' language and the fields of each. */
#pragma once

#include "language/language_type.h"

#include <optional>
#include <span>
#include <string_view>

namespace Tanagertally {

/** A field of a subject. */
struct FieldInfo {
    Field field; ///< The field.
    std::string_view name; ///< Its name in the language.
    FieldType type; ///< What values it has.
    std::span<const std::string_view> words = {}; ///< The values of a field of type Name.
};

/** A subject. */
struct SubjectInfo {
    Subject subject; ///< The subject.
    std::string_view name; ///< Its name in the language.
    std::span<const FieldInfo> fields; ///< Its fields.
};

/** @return All subjects. */
std::span<const SubjectInfo> allSubjects();

/** @return The table of a subject. */
const SubjectInfo &subjectInfo(Subject subject);

/** @return The subject of a name, or null. */
const SubjectInfo *findSubject(std::string_view name);

/** @return The field of a name in a subject, or null. */
const FieldInfo *findField(const SubjectInfo &subject, std::string_view name);

/** @return The name of a field in the language. */
std::string_view fieldName(Field field);

} // namespace Tanagertally
