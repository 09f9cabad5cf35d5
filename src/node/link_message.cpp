#include "node/link_message.h"

#include "cells/job_cbor.h"

namespace Tanagertally::Cells {

using Json = nlohmann::json;

namespace {

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration toDuration(const Json &json)
{
    return std::chrono::milliseconds(json.get<std::int64_t>());
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
    const std::int64_t retryAfterMs = message.answer.retryAfter ? toMs(*message.answer.retryAfter) : -1;
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

CellAdvert advertFromJson(const Json &json)
{
    CellAdvert advert;
    advert.cell = CellName(json.at(0).get<std::string>());
    advert.token = FenceToken(json.at(1).get<std::uint64_t>());
    advert.storeSilence = toDuration(json.at(2));
    advert.load.capacityCpu = json.at(3).get<std::int64_t>();
    advert.load.freeCpu = json.at(4).get<std::int64_t>();
    advert.load.waitingWork = json.at(5).get<double>();
    for (const Json &entry : json.at(6)) {
        advert.load.pendingJobs.emplace(QueueName(entry.at(0).get<std::string>()), entry.at(1).get<std::uint64_t>());
    }
    advert.load.labels = json.at(7).get<std::vector<std::string>>();
    if (json.size() > 9) { // Instances of earlier versions don't send the rest.
        advert.load.rateCpu = json.at(8).get<std::int64_t>();
        advert.load.usableCpu = json.at(9).get<std::int64_t>();
    }
    return advert;
}

LinkMessage helloFromJson(const Json &json)
{
    return LinkHello{InstanceName(json.at(0).get<std::string>()), Incarnation(json.at(1).get<std::uint64_t>())};
}

LinkMessage linkAdvertFromJson(const Json &json)
{
    LinkAdvert message;
    message.isLeaving = json.at(0).get<bool>();
    message.configVersion = json.at(1).get<std::uint64_t>();
    for (const Json &cell : json.at(2)) {
        message.cells.push_back(advertFromJson(cell));
    }
    message.operatorTableVersion = RowVersion(json.size() > 3 ? json.at(3).get<std::uint64_t>() : 0); // Absent in earlier versions.
    return message;
}

LinkMessage submitFromJson(const Json &json)
{
    return LinkSubmit{CallId(json.at(0).get<std::uint64_t>()),
                      CellName(json.at(1).get<std::string>()),
                      JobId(json.at(2).get<std::string>()),
                      specFromJson(json.at(3)),
                      termsFromJson(json.at(4)),
                      json.at(5).get<bool>(),
                      json.size() > 6 && !json.at(6).is_null() ? std::optional(toDuration(json.at(6)))
                                                               : std::nullopt}; // Absent in earlier versions.
}

LinkMessage submitReplyFromJson(const Json &json)
{
    LinkSubmitReply message;
    message.call = CallId(json.at(0).get<std::uint64_t>());
    message.answer.verdict = static_cast<SubmitVerdict>(json.at(1).get<int>());
    message.answer.reason = json.at(2).get<std::string>();
    if (json.at(3).get<std::int64_t>() >= 0) {
        message.answer.retryAfter = toDuration(json.at(3));
    }
    message.answer.state = static_cast<JobState>(json.at(4).get<int>());
    return message;
}

LinkMessage jobQuestionFromJson(const Json &json)
{
    return LinkJobQuestion{CallId(json.at(0).get<std::uint64_t>()), CellName(json.at(1).get<std::string>()),
                           JobId(json.at(2).get<std::string>()), static_cast<JobQuestion>(json.at(3).get<int>())};
}

LinkMessage jobReplyFromJson(const Json &json)
{
    return LinkJobReply{CallId(json.at(0).get<std::uint64_t>()),
                        {static_cast<JobAnswer::Kind>(json.at(1).get<int>()), static_cast<JobState>(json.at(2).get<int>())}};
}

LinkMessage withdrawFromJson(const Json &json)
{
    return LinkWithdraw{CallId(json.at(0).get<std::uint64_t>()), CellName(json.at(1).get<std::string>())};
}

/** Decoders, by the index of the alternative in LinkMessage. */
constexpr LinkMessage (*Decoders[])(const Json &)
    = {helloFromJson, linkAdvertFromJson, submitFromJson, submitReplyFromJson, jobQuestionFromJson, jobReplyFromJson, withdrawFromJson};

} // namespace

std::string encodeLinkMessage(const LinkMessage &message)
{
    return toCborText(Json::array({message.index(), std::visit([](const auto &content) { return toJson(content); }, message)}));
}

Result<LinkMessage> decodeLinkMessage(std::string_view bytes)
{
    try {
        const Json json = fromCborText(bytes);
        const auto type = json.at(0).get<std::size_t>();
        if (type >= std::size(Decoders)) {
            return makeError(ErrorCode::BadInput, "unknown type of message " + std::to_string(type));
        }
        return Decoders[type](json.at(1));
    } catch (const Json::exception &error) {
        return makeError(ErrorCode::BadInput, error.what());
    }
}

} // namespace Tanagertally::Cells
