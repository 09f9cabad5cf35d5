#include "caller/caller_service.h"

#include "caller/caller_codec.h"
#include "caller/caller_handler.h"
#include "caller/http_server.h"

namespace Tanagertally {

class CallerService::Impl
{
public:
    std::shared_ptr<CallerHandler> handler; ///< Shared with the server, whose connections use it.
    std::unique_ptr<HttpServer<CallerHandler>> server; ///< Listener and connections.
};

Result<std::unique_ptr<CallerService>> CallerService::create(boost::asio::io_context &io, EventQueue &events, CallerServiceOptions options)
{
    BearerAuth teams;
    for (std::size_t index = 0; index < options.teams.size(); ++index) {
        const TeamKey &key = options.teams[index];
        const Result<void> added = teams.add(key.team.value, key.secret, "teams[" + std::to_string(index) + "]");
        if (added.has_error()) {
            return added.error();
        }
    }
    auto impl = std::make_unique<Impl>();
    impl->handler = std::make_shared<CallerHandler>(std::move(teams), options.limits);
    auto server = HttpServer<CallerHandler>::create(io, events, impl->handler, options.listen, options.limits);
    if (server.has_error()) {
        return server.error();
    }
    impl->server = std::move(server.value());
    return std::unique_ptr<CallerService>(new CallerService(std::move(impl)));
}

CallerService::CallerService(std::unique_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

CallerService::~CallerService() = default;

void CallerService::execute(ReplyToCaller action)
{
    const RequestId id = action.request;
    this->impl->server->reply(id, [replyAction = std::move(action)] {
        HttpReply reply = encodeCallerReply(replyAction.reply);
        reply.closeAfter = replyAction.closeAfter;
        return reply;
    });
}

void CallerService::execute(const SetReadiness &action)
{
    this->impl->handler->readiness.set(action);
}

NetAddress CallerService::address() const
{
    return this->impl->server->address();
}

void CallerService::stopAccepting()
{
    this->impl->server->stopAccepting();
}

void CallerService::close()
{
    this->impl->server->close();
}

} // namespace Tanagertally
