/** Jobs as JSON values, for rows of the store and for messages between instances, both in CBOR. */
#pragma once

#include "cells/job_type.h"

#include <nlohmann/json.hpp>

namespace Tanagertally::Cells {

/** @return A job's steps and payload as a JSON value. */
nlohmann::json specToJson(const JobSpec &spec);
/** @return The job. Throws nlohmann::json::exception if it can't be read. */
JobSpec specFromJson(const nlohmann::json &json);
/** @return Terms as a JSON value. */
nlohmann::json termsToJson(const JobTerms &terms);
/** @return The terms. Throws nlohmann::json::exception if they can't be read. */
JobTerms termsFromJson(const nlohmann::json &json);
/** @return A value as CBOR bytes. */
std::string toCborText(const nlohmann::json &json);
/** @return The value of CBOR bytes. Throws nlohmann::json::exception if they can't be read. */
nlohmann::json fromCborText(std::string_view bytes);

} // namespace Tanagertally::Cells
