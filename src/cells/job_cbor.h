/** Conversion of jobs to JSON values and CBOR, for stored rows and messages between instances. */
#pragma once

#include "cells/job_type.h"

#include <nlohmann/json.hpp>

namespace Tanagertally::Cells {

/** Encodes a job's steps and payload as a JSON value. */
nlohmann::json specToJson(const JobSpec &spec);
/** Decodes a job's steps and payload. Throws nlohmann::json::exception if the value is malformed. */
JobSpec specFromJson(const nlohmann::json &json);
/** Encodes terms as a JSON value. */
nlohmann::json termsToJson(const JobTerms &terms);
/** Decodes terms. Throws nlohmann::json::exception if the value is malformed. */
JobTerms termsFromJson(const nlohmann::json &json);
/** Encodes a JSON value as CBOR bytes. */
std::string toCborText(const nlohmann::json &json);
/** Decodes CBOR bytes. Throws nlohmann::json::exception if they are malformed. */
nlohmann::json fromCborText(std::string_view bytes);

} // namespace Tanagertally::Cells
