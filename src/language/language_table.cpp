#include "language/language_table.h"

#include <algorithm>

namespace Tanagertally {

namespace {

using enum FieldType;
using Word = std::string_view;

constexpr Word JobStates[] = {"pending", "running", "answered", "unused", "closed"};
constexpr Word JobModes[] = {"wait", "later"};
constexpr Word JobOutcomes[] = {"complete", "failed"};
constexpr Word TaskStates[] = {"waiting", "running", "succeeded", "failed", "cancelled"};
constexpr Word Verdicts[] = {"not-run", "may-have-run", "ran"};
constexpr Word EndpointStates[] = {"live", "ejected", "trial", "unreachable", "leaving"};
constexpr Word InstanceStates[] = {"learning", "serving", "draining", "stopped"};
constexpr Word ConfigStates[] = {"in-force", "accepted"};

constexpr FieldInfo JobFields[] = {
    {Field::Key, "key", Text},
    {Field::State, "state", Name, JobStates},
    {Field::Team, "team", Text},
    {Field::Age, "age", TimeSpan},
    {Field::Timeout, "timeout", TimeSpan},
    {Field::Mode, "mode", Name, JobModes},
    {Field::Outcome, "outcome", Name, JobOutcomes},
    {Field::Reason, "reason", Text},
    {Field::Home, "home", Text},
    {Field::Tasks, "tasks", Number},
    {Field::Started, "started", Number},
    {Field::Finished, "finished", Number},
};

constexpr FieldInfo TaskFields[] = {
    {Field::Job, "job", Text},
    {Field::Index, "index", Number},
    {Field::Kind, "kind", Text},
    {Field::Team, "team", Text},
    {Field::State, "state", Name, TaskStates},
    {Field::RunVerdict, "verdict", Name, Verdicts},
    {Field::Worker, "worker", Text},
    {Field::Attempts, "attempts", Number},
    {Field::Age, "age", TimeSpan},
    {Field::RunTime, "runtime", TimeSpan},
};

constexpr FieldInfo EndpointFields[] = {
    {Field::Worker, "worker", Text},
    {Field::Rack, "rack", Text},
    {Field::Domain, "domain", Text},
    {Field::Address, "address", Text},
    {Field::State, "state", Name, EndpointStates},
    {Field::Slots, "slots", Number},
    {Field::Running, "running", Number},
    {Field::Failures, "failures", Number},
    {Field::Latency, "latency", TimeSpan},
};

constexpr FieldInfo InstanceFields[] = {
    {Field::Name, "name", Text},
    {Field::Domain, "domain", Text},
    {Field::Address, "address", Text},
    {Field::State, "state", Name, InstanceStates},
    {Field::ProcessIncarnation, "incarnation", Text},
    {Field::Config, "config", Number},
    {Field::Queued, "queued", Number},
    {Field::Running, "running", Number},
};

constexpr FieldInfo DomainFields[] = {
    {Field::Domain, "domain", Text},         {Field::Config, "config", Number}, {Field::Instances, "instances", Number},
    {Field::Endpoints, "endpoints", Number}, {Field::Slots, "slots", Number},   {Field::Running, "running", Number},
    {Field::Queued, "queued", Number},
};

constexpr FieldInfo TeamFields[] = {
    {Field::Team, "team", Text},         {Field::Quota, "quota", Number},   {Field::Weight, "weight", Number},
    {Field::Running, "running", Number}, {Field::Queued, "queued", Number},
};

constexpr FieldInfo ConfigFields[] = {
    {Field::Version, "version", Number},
    {Field::State, "state", Name, ConfigStates},
    {Field::By, "by", Text},
    {Field::Age, "age", TimeSpan},
};

constexpr FieldInfo AuditFields[] = {
    {Field::Index, "index", Number},     {Field::By, "by", Text},     {Field::Age, "age", TimeSpan},
    {Field::Version, "version", Number}, {Field::Text, "text", Text}, {Field::Message, "message", Text},
};

constexpr FieldInfo RefusalFields[] = {
    {Field::Id, "id", Number},
    {Field::Key, "key", Text},
    {Field::Team, "team", Text},
    {Field::Code, "code", Text},
    {Field::RunVerdict, "verdict", Name, Verdicts},
    {Field::Age, "age", TimeSpan},
    {Field::Message, "message", Text},
};

constexpr SubjectInfo Subjects[] = {
    {Subject::Jobs, "jobs", JobFields},
    {Subject::Tasks, "tasks", TaskFields},
    {Subject::Endpoints, "endpoints", EndpointFields},
    {Subject::Instances, "instances", InstanceFields},
    {Subject::Domains, "domains", DomainFields},
    {Subject::Teams, "teams", TeamFields},
    {Subject::Config, "config", ConfigFields},
    {Subject::Audit, "audit", AuditFields},
    {Subject::Refusals, "refusals", RefusalFields},
};

} // namespace

std::span<const SubjectInfo> allSubjects()
{
    return Subjects;
}

const SubjectInfo &subjectInfo(Subject subject)
{
    return *std::ranges::find(Subjects, subject, &SubjectInfo::subject);
}

const SubjectInfo *findSubject(std::string_view name)
{
    const auto *const found = std::ranges::find(Subjects, name, &SubjectInfo::name);
    return found == std::ranges::end(Subjects) ? nullptr : found;
}

const FieldInfo *findField(const SubjectInfo &subject, std::string_view name)
{
    const auto found = std::ranges::find(subject.fields, name, &FieldInfo::name);
    return found == subject.fields.end() ? nullptr : &*found;
}

std::string_view fieldName(Field field)
{
    for (const SubjectInfo &subject : Subjects) {
        const auto found = std::ranges::find(subject.fields, field, &FieldInfo::field);
        if (found != subject.fields.end()) {
            return found->name;
        }
    }
    return {};
}

} // namespace Tanagertally
