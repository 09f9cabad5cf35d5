#include "cells/job_cbor.h"

#include "cells/cell_job.h"

#include <algorithm>
#include <array>

namespace Tanagertally::Cells {

using Json = nlohmann::json;

namespace {

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Depth of nested arrays and maps; the messages and rows of this version use 6. The decoder below recurses once for each level. */
constexpr std::size_t MaxCborDepth = 32;

/** Major types of CBOR items, as in RFC 8949. */
enum class CborType : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

/** @return Whether a text is valid UTF-8, as JSON requires of it. */
bool isUtf8(std::string_view text)
{
    /** Lead bytes, the number of bytes that follow them, and the range of the first of these. */
    struct Sequence {
        std::uint8_t first, last, following, least, greatest;
    };
    constexpr std::array<Sequence, 9> Sequences{{{0x00, 0x7F, 0, 0, 0},
                                                 {0xC2, 0xDF, 1, 0x80, 0xBF},
                                                 {0xE0, 0xE0, 2, 0xA0, 0xBF},
                                                 {0xE1, 0xEC, 2, 0x80, 0xBF},
                                                 {0xED, 0xED, 2, 0x80, 0x9F},
                                                 {0xEE, 0xEF, 2, 0x80, 0xBF},
                                                 {0xF0, 0xF0, 3, 0x90, 0xBF},
                                                 {0xF1, 0xF3, 3, 0x80, 0xBF},
                                                 {0xF4, 0xF4, 3, 0x80, 0x8F}}};
    for (std::size_t at = 0; at < text.size();) {
        const auto byteAt = [&text](std::size_t index) { return static_cast<std::uint8_t>(text[index]); };
        const auto *const found = std::ranges::find_if(
            Sequences, [lead = byteAt(at)](const Sequence &sequence) { return sequence.first <= lead && lead <= sequence.last; });
        if (found == Sequences.end() || text.size() - at <= found->following) {
            return false;
        }
        for (std::size_t index = at + 1; index <= at + found->following; ++index) {
            const bool isFirst = index == at + 1;
            if (byteAt(index) < (isFirst ? found->least : 0x80) || byteAt(index) > (isFirst ? found->greatest : 0xBF)) {
                return false;
            }
        }
        at += 1U + found->following;
    }
    return true;
}

/** Checks the structure of CBOR bytes without recursion. */
class CborCheck
{
public:
    /** Prepares a check. @param text The bytes, which have to outlive the check. */
    explicit CborCheck(std::string_view text)
        : rest(text)
    {
    }

    /** Checks one item and all items in it. Throws CborError. */
    void run()
    {
        std::vector<std::uint64_t> open{1}; // Number of items that are still expected, by level.
        while (!open.empty()) {
            if (open.back() == 0) {
                open.pop_back();
                continue;
            }
            --open.back();
            if (const std::uint64_t items = this->readItem(); items > 0) {
                open.push_back(items);
            }
            if (open.size() > MaxCborDepth) {
                throw CborError("nesting: at most " + std::to_string(MaxCborDepth) + " levels are expected");
            }
        }
    }

private:
    /** Reads an item without the items in it. @return Number of items in it. */
    std::uint64_t readItem()
    {
        const auto head = static_cast<std::uint8_t>(this->take(1)[0]);
        const auto type = static_cast<CborType>(head >> 5U);
        const std::uint64_t value = this->readArgument(head & 0x1FU);
        switch (type) {
        case CborType::Bytes:
            this->take(value);
            return 0;
        case CborType::Text:
            if (!isUtf8(this->take(value))) {
                throw CborError("text: must be UTF-8");
            }
            return 0;
        case CborType::Array:
        case CborType::Map:
            if (value > this->rest.size()) { // Each item has a byte or more.
                throw CborError("array or map: larger than the bytes that contain it");
            }
            return type == CborType::Map ? 2 * value : value;
        case CborType::Tag:
            throw CborError("tag: none is expected");
        case CborType::Unsigned:
        case CborType::Negative:
        case CborType::Simple:
            return 0;
        }
        return 0;
    }

    /** Reads the argument of an item. @param information The lower five bits of its head. @return A size, or the bits of a number. */
    std::uint64_t readArgument(unsigned information)
    {
        constexpr unsigned FirstSized = 24; // From here to LastSized, the argument follows in 1, 2, 4 or 8 bytes.
        constexpr unsigned LastSized = 27;
        if (information < FirstSized) {
            return information;
        }
        if (information > LastSized) {
            throw CborError("size: must be stated");
        }
        std::uint64_t value = 0;
        for (const char byte : this->take(std::uint64_t(1) << (information - FirstSized))) {
            value = value << 8U | static_cast<std::uint8_t>(byte);
        }
        return value;
    }

    /** @return The next bytes, which are consumed. */
    std::string_view take(std::uint64_t count)
    {
        if (count > this->rest.size()) {
            throw CborError("size: larger than the bytes that follow");
        }
        const std::string_view taken = this->rest.substr(0, count);
        this->rest.remove_prefix(count);
        return taken;
    }

    std::string_view rest; ///< Bytes that have not been checked.
};

/** @return A count of at most 32 bits. */
std::uint32_t countFromJson(const Json &json, std::string_view what)
{
    return integerFromJson<std::uint32_t>(json, what);
}

std::vector<std::uint32_t> countsFromJson(const Json &json, std::string_view what)
{
    std::vector<std::uint32_t> counts;
    for (const Json &value : json) {
        counts.push_back(countFromJson(value, what));
    }
    return counts;
}

Json stepToJson(const StepSpec &step)
{
    return Json::array({step.count, step.demand.cpu, step.demand.memoryMb, step.demand.gpu, toMs(step.estimate), step.after,
                        step.requirement, step.affinity.value, step.maxPerEndpoint});
}

StepSpec stepFromJson(const Json &json)
{
    StepSpec step;
    step.count = countFromJson(json.at(0), "count");
    step.demand = {countFromJson(json.at(1), "cpu"), countFromJson(json.at(2), "memory"), countFromJson(json.at(3), "gpu")};
    step.estimate = millisecondsFromJson(json.at(4), "estimate", MaxEstimate);
    step.after = countsFromJson(json.at(5), "after");
    step.requirement = json.at(6).get<std::string>();
    step.affinity = RackLabel(json.at(7).get<std::string>());
    step.maxPerEndpoint = countFromJson(json.at(8), "tasks per endpoint");
    return step;
}

} // namespace

double numberFromJson(const Json &json, std::string_view what, double least, double greatest)
{
    const double number = json.is_number() ? json.get<double>() : std::numeric_limits<double>::quiet_NaN();
    if (!(number >= least && number <= greatest)) {
        throw CborError(std::string(what) + ": must be a number from " + std::to_string(least) + " to " + std::to_string(greatest));
    }
    return number;
}

Duration millisecondsFromJson(const Json &json, std::string_view what, Duration longest)
{
    return std::chrono::milliseconds(integerFromJson<std::int64_t>(json, what, 0, toMs(longest)));
}

Json specToJson(const JobSpec &spec)
{
    Json steps = Json::array();
    for (const StepSpec &step : spec.steps) {
        steps.push_back(stepToJson(step));
    }
    const std::string &payload = *spec.payload;
    return Json::array({std::move(steps), Json::binary(std::vector<std::uint8_t>(payload.begin(), payload.end())), spec.isBestEffort});
}

JobSpec specFromJson(const Json &json)
{
    JobSpec spec;
    for (const Json &step : json.at(0)) {
        spec.steps.push_back(stepFromJson(step));
    }
    const auto &bytes = json.at(1).get_binary();
    spec.payload = std::make_shared<const std::string>(bytes.begin(), bytes.end());
    spec.isBestEffort = json.at(2).get<bool>();
    if (!isUtf8(*spec.payload)) {
        throw CborError("payload: must be UTF-8");
    }
    if (const std::string fault = validateSpec(spec); !fault.empty()) {
        throw CborError(fault);
    }
    return spec;
}

Json termsToJson(const JobTerms &terms)
{
    return Json::array(
        {terms.queue.value, terms.service.value, terms.priority, terms.maxAttempts, terms.stretch, toMs(terms.targetDuration)});
}

JobTerms termsFromJson(const Json &json)
{
    JobTerms terms;
    terms.queue = QueueName(json.at(0).get<std::string>());
    terms.service = ServiceName(json.at(1).get<std::string>());
    terms.priority = countFromJson(json.at(2), "priority");
    terms.maxAttempts = countFromJson(json.at(3), "attempts");
    terms.stretch = numberFromJson(json.at(4), "stretch", 0, MaxStretch);
    terms.targetDuration = millisecondsFromJson(json.at(5), "target duration", MaxEstimate);
    return terms;
}

Json lossesToJson(std::span<const EndpointLoss> losses)
{
    Json rows = Json::array();
    for (const EndpointLoss &loss : losses) {
        Json tasks = Json::array();
        for (const LostTask &lost : loss.tasks) {
            tasks.push_back({lost.task.job.value, lost.task.step, lost.task.index, lost.wasRunning,
                             lost.ranFor ? Json(toMs(*lost.ranFor)) : Json(), lost.wasOnlySuspect});
        }
        Json predecessors = Json::array();
        for (const EndpointName &name : loss.predecessors) {
            predecessors.push_back(name.value);
        }
        rows.push_back({loss.endpoint.value, loss.address.value, loss.born ? Json(*loss.born) : Json(), loss.state == LossState::Crashed,
                        loss.wasAlone, std::move(tasks), std::move(predecessors), loss.hadOnlySuspect});
    }
    return rows;
}

std::vector<EndpointLoss> lossesFromJson(const Json &json)
{
    std::vector<EndpointLoss> losses;
    for (const Json &row : json) {
        EndpointLoss loss;
        loss.endpoint = EndpointName(row.at(0).get<std::string>());
        loss.address = NetAddress(row.at(1).get<std::string>());
        loss.born = row.at(2).is_null() ? std::nullopt : std::optional(integerFromJson<std::int64_t>(row.at(2), "born", 1));
        loss.state = row.at(3).get<bool>() ? LossState::Crashed : LossState::Unconfirmed;
        loss.wasAlone = row.at(4).get<bool>();
        for (const Json &task : row.at(5)) {
            const TaskRef ref{JobId(task.at(0).get<std::string>()), integerFromJson<std::uint32_t>(task.at(1), "step"),
                              integerFromJson<std::uint32_t>(task.at(2), "task")};
            LostTask lost{ref, task.at(3).get<bool>(), std::nullopt, false};
            if (task.size() > 5) { // Rows of earlier versions don't have the rest.
                lost.ranFor
                    = task.at(4).is_null() ? std::nullopt : std::optional(millisecondsFromJson(task.at(4), "run time", MaxEstimate));
                lost.wasOnlySuspect = task.at(5).get<bool>();
            }
            loss.tasks.push_back(std::move(lost));
        }
        // Rows of earlier versions don't name predecessors.
        for (const Json &name : row.size() > 6 ? row.at(6) : Json::array()) {
            loss.predecessors.emplace_back(name.get<std::string>());
        }
        loss.hadOnlySuspect = row.size() > 7 && row.at(7).get<bool>();
        if (!loss.tasks.empty()) {
            losses.push_back(std::move(loss));
        }
    }
    return losses;
}

std::string toCborText(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Json fromCborText(std::string_view bytes)
{
    CborCheck(bytes).run();
    return Json::from_cbor(bytes);
}

} // namespace Tanagertally::Cells
