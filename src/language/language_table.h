/** Schema of the operators' language: its subjects and their fields. */
#pragma once

#include "language/language_type.h"

#include <optional>
#include <span>
#include <string_view>

namespace Tanagertally {

/** Describes a field of a subject. */
struct FieldInfo {
    Field field;
    std::string_view name; ///< Name of the field in the language.
    FieldType type; ///< Type of the field's values.
    std::span<const std::string_view> allowedValues = {}; ///< Allowed values of a field of type Name; empty for other types.
};

/** Describes a subject. */
struct SubjectInfo {
    Subject subject;
    std::string_view name; ///< Name of the subject in the language.
    std::span<const FieldInfo> fields; ///< Fields of the subject, in the order in which error messages and the documentation list them.
};

/** @return The descriptions of all subjects. */
std::span<const SubjectInfo> allSubjects();

/** @return The description of a subject. */
const SubjectInfo &subjectInfo(Subject subject);

/** @return The subject that has this name, or null if there is none. */
const SubjectInfo *findSubject(std::string_view name);

/** @return The field of `subject` that has this name, or null if there is none. */
const FieldInfo *findField(const SubjectInfo &subject, std::string_view name);

/** @return The name of a field in the language; empty if no subject has the field. */
std::string_view fieldName(Field field);

} // namespace Tanagertally
