#include "node/link_message.h"

#include "cells/job_cbor.h"

namespace Tanagertally::Cells {

using Json = nlohmann::json;

namespace {

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr std::int64_t NoRetryMs = -1; // States that a retry can't help.
constexpr std::int64_t MaxLoad = std::int64_t(1) << 48; // Sums of a load over the cells of a fleet stay within 64 bits.

std::int64_t loadFromJson(const Json &json, std::string_view what)
{
    return integerFromJson<std::int64_t>(json, what, -MaxLoad, MaxLoad);
}

std::uint64_t counterFromJson(const Json &json, std::string_view what)
{
    return integerFromJson<std::uint64_t>(json, what);
}

Json toJson(const LinkHello &message)
{
    return {message.name.value, message.incarnation.value};
}

Json toJson(const CellAdvert &advert)
{
    Json pending = Json::array();
    for (const auto &[queue, count] : advert.load.pendingJobs) {
        pending.push_back({queue.value, count});
    }
    return Json::array({advert.cell.value, advert.token.value, toMs(advert.storeSilence), advert.load.capacityCpu, advert.load.freeCpu,
                        advert.load.waitingWork, std::move(pending), advert.load.labels, advert.load.rateCpu, advert.load.usableCpu});
}

Json toJson(const LinkAdvert &message)
{
    Json cells = Json::array();
    for (const CellAdvert &advert : message.cells) {
        cells.push_back(toJson(advert));
    }
    return Json::array({message.isLeaving, message.configVersion, std::move(cells), message.operatorTableVersion.value});
}

Json toJson(const LinkSubmit &message)
{
    return Json::array({message.call.value, message.cell.value, message.id.value, specToJson(message.spec), termsToJson(message.terms),
                        message.mayHaveRun, message.patience ? Json(toMs(*message.patience)) : Json()});
}

Json toJson(const LinkSubmitReply &message)
{
    const std::int64_t retryAfterMs = message.answer.retryAfter ? toMs(*message.answer.retryAfter) : NoRetryMs;
    return Json::array({message.call.value, static_cast<int>(message.answer.verdict), message.answer.reason, retryAfterMs,
                        static_cast<int>(message.answer.state)});
}

Json toJson(const LinkJobQuestion &message)
{
    return Json::array({message.call.value, message.cell.value, message.id.value, static_cast<int>(message.question)});
}

Json toJson(const LinkJobReply &message)
{
    return Json::array({message.call.value, static_cast<int>(message.answer.kind), static_cast<int>(message.answer.state)});
}

Json toJson(const LinkWithdraw &message)
{
    return Json::array({message.call.value, message.cell.value});
}

Json toJson(const LinkTransfer &message)
{
    Json transfers = Json::array();
    for (const JobTransfer &transfer : message.transfers) {
        transfers.push_back(Json::array({transfer.job.value, lossesToJson(transfer.losses)}));
    }
    return Json::array({message.source.value, message.target.value, std::move(transfers)});
}

Json toJson(const LinkTransferDone &message)
{
    Json jobs = Json::array();
    for (const JobId &job : message.jobs) {
        jobs.push_back(job.value);
    }
    return Json::array({message.source.value, std::move(jobs)});
}

Json toJson(const LinkRoomQuery &message)
{
    return Json::array({message.cell.value});
}

Json toJson(const LinkRoomReply &message)
{
    Json rooms = Json::array();
    for (const EndpointRoom &room : message.rooms) {
        rooms.push_back(Json::array({room.endpoint.value, room.free.cpu, room.free.memoryMb, room.free.gpu}));
    }
    return Json::array({message.cell.value, std::move(rooms)});
}

CellAdvert advertFromJson(const Json &json)
{
    CellAdvert advert;
    advert.cell = CellName(json.at(0).get<std::string>());
    advert.token = FenceToken(counterFromJson(json.at(1), "token"));
    advert.storeSilence = millisecondsFromJson(json.at(2), "store silence", Duration::max());
    advert.load.capacityCpu = loadFromJson(json.at(3), "capacity");
    advert.load.freeCpu = loadFromJson(json.at(4), "free capacity");
    advert.load.waitingWork = numberFromJson(json.at(5), "waiting work", -static_cast<double>(MaxLoad), static_cast<double>(MaxLoad));
    for (const Json &entry : json.at(6)) {
        advert.load.pendingJobs.emplace(QueueName(entry.at(0).get<std::string>()),
                                        integerFromJson<std::uint64_t>(entry.at(1), "pending jobs", 0, MaxLoad));
    }
    advert.load.labels = json.at(7).get<std::vector<std::string>>();
    if (json.size() > 9) { // Instances of earlier versions don't send the rest.
        advert.load.rateCpu = loadFromJson(json.at(8), "rate");
        advert.load.usableCpu = loadFromJson(json.at(9), "usable capacity");
    }
    return advert;
}

LinkMessage helloFromJson(const Json &json)
{
    return LinkHello{InstanceName(json.at(0).get<std::string>()), Incarnation(counterFromJson(json.at(1), "incarnation"))};
}

LinkMessage linkAdvertFromJson(const Json &json)
{
    LinkAdvert message;
    message.isLeaving = json.at(0).get<bool>();
    message.configVersion = counterFromJson(json.at(1), "version of the configuration");
    for (const Json &cell : json.at(2)) {
        message.cells.push_back(advertFromJson(cell));
    }
    message.operatorTableVersion
        = RowVersion(json.size() > 3 ? counterFromJson(json.at(3), "version of the operators' table") : 0); // Absent in earlier versions.
    return message;
}

LinkMessage submitFromJson(const Json &json)
{
    return LinkSubmit{CallId(counterFromJson(json.at(0), "call")),
                      CellName(json.at(1).get<std::string>()),
                      JobId(json.at(2).get<std::string>()),
                      specFromJson(json.at(3)),
                      termsFromJson(json.at(4)),
                      json.at(5).get<bool>(),
                      json.size() > 6 && !json.at(6).is_null() ? std::optional(millisecondsFromJson(json.at(6), "patience", MaxEstimate))
                                                               : std::nullopt}; // Absent in earlier versions.
}

LinkMessage submitReplyFromJson(const Json &json)
{
    LinkSubmitReply message;
    message.call = CallId(counterFromJson(json.at(0), "call"));
    message.answer.verdict = enumFromJson(json.at(1), "verdict", SubmitVerdict::Unknown);
    message.answer.reason = json.at(2).get<std::string>();
    if (integerFromJson<std::int64_t>(json.at(3), "retry after", NoRetryMs) != NoRetryMs) {
        message.answer.retryAfter = millisecondsFromJson(json.at(3), "retry after", Duration::max());
    }
    message.answer.state = enumFromJson(json.at(4), "state", JobState::Cancelled);
    return message;
}

LinkMessage jobQuestionFromJson(const Json &json)
{
    return LinkJobQuestion{CallId(counterFromJson(json.at(0), "call")), CellName(json.at(1).get<std::string>()),
                           JobId(json.at(2).get<std::string>()), enumFromJson(json.at(3), "question", JobQuestion::Cancel)};
}

LinkMessage jobReplyFromJson(const Json &json)
{
    return LinkJobReply{
        CallId(counterFromJson(json.at(0), "call")),
        {enumFromJson(json.at(1), "kind", JobAnswer::Kind::Unknown), enumFromJson(json.at(2), "state", JobState::Cancelled)}};
}

LinkMessage withdrawFromJson(const Json &json)
{
    return LinkWithdraw{CallId(counterFromJson(json.at(0), "call")), CellName(json.at(1).get<std::string>())};
}

LinkMessage transferFromJson(const Json &json)
{
    LinkTransfer message{CellName(json.at(0).get<std::string>()), CellName(json.at(1).get<std::string>()), {}};
    for (const Json &entry : json.at(2)) {
        message.transfers.push_back({JobId(entry.at(0).get<std::string>()), message.target, lossesFromJson(entry.at(1))});
    }
    return message;
}

LinkMessage transferDoneFromJson(const Json &json)
{
    LinkTransferDone message{CellName(json.at(0).get<std::string>()), {}};
    for (const Json &job : json.at(1)) {
        message.jobs.emplace_back(job.get<std::string>());
    }
    return message;
}

LinkMessage roomQueryFromJson(const Json &json)
{
    return LinkRoomQuery{CellName(json.at(0).get<std::string>())};
}

LinkMessage roomReplyFromJson(const Json &json)
{
    LinkRoomReply message{CellName(json.at(0).get<std::string>()), {}};
    for (const Json &entry : json.at(1)) {
        const Resources free{loadFromJson(entry.at(1), "free processor"), loadFromJson(entry.at(2), "free memory"),
                             loadFromJson(entry.at(3), "free accelerators")};
        message.rooms.push_back({EndpointName(entry.at(0).get<std::string>()), free});
    }
    return message;
}

/** Decoders, by the index of the alternative in LinkMessage. */
constexpr LinkMessage (*Decoders[])(const Json &)
    = {helloFromJson,    linkAdvertFromJson, submitFromJson,       submitReplyFromJson, jobQuestionFromJson, jobReplyFromJson,
       withdrawFromJson, transferFromJson,   transferDoneFromJson, roomQueryFromJson,   roomReplyFromJson};

} // namespace

std::string encodeLinkMessage(const LinkMessage &message)
{
    return toCborText(Json::array({message.index(), std::visit([](const auto &content) { return toJson(content); }, message)}));
}

Result<LinkMessage> decodeLinkMessage(std::string_view bytes)
{
    try {
        const Json json = fromCborText(bytes);
        const auto type = integerFromJson<std::size_t>(json.at(0), "type");
        if (type >= std::size(Decoders)) {
            return makeError(ErrorCode::BadInput, "unknown type of message " + std::to_string(type));
        }
        return Decoders[type](json.at(1));
    } catch (const Json::exception &error) {
        return makeError(ErrorCode::BadInput, error.what());
    } catch (const CborError &error) {
        return makeError(ErrorCode::BadInput, error.what());
    }
}

} // namespace Tanagertally::Cells
