#include "controllers/platform_calls.h"

namespace Tanagertally {

PlatformCalls::PlatformCalls(Outbox &outbox)
    : outbox(outbox)
{
}

void PlatformCalls::send(PlatformRequest request, Duration timeout, Handler handler)
{
    const PlatformRequestId id(++this->lastId);
    this->pending.emplace(id, std::move(handler));
    this->outbox.emit(SendPlatformRequest{id, std::move(request), timeout});
}

void PlatformCalls::handle(PlatformReplied reply)
{
    const auto found = this->pending.find(reply.request);
    if (found == this->pending.end()) {
        return;
    }
    const Handler handler = std::move(found->second);
    this->pending.erase(found);
    handler(std::move(reply.reply));
}

} // namespace Tanagertally
