#include "operator/operator_service.h"

#include "caller/http_server.h"
#include "operator/operator_codec.h"
#include "operator/operator_handler.h"

namespace Tanagertally {

class OperatorService::Impl
{
public:
    std::shared_ptr<OperatorHandler> handler; ///< Shared with the server, whose connections use it.
    std::unique_ptr<HttpServer<OperatorHandler>> server; ///< Listener and connections.
};

Result<std::unique_ptr<OperatorService>> OperatorService::create(boost::asio::io_context &io, EventQueue &events,
                                                                 OperatorServiceOptions options, std::function<std::string()> metricsText)
{
    BearerAuth operators;
    for (std::size_t index = 0; index < options.operators.size(); ++index) {
        const OperatorKey &key = options.operators[index];
        const Result<void> added = operators.add(key.name.value, key.secret, "operators[" + std::to_string(index) + "]");
        if (added.has_error()) {
            return added.error();
        }
    }
    auto impl = std::make_unique<Impl>();
    impl->handler = std::make_shared<OperatorHandler>(std::move(operators), options.limits, std::move(metricsText));
    auto server = HttpServer<OperatorHandler>::create(io, events, impl->handler, options.listen, options.limits);
    if (server.has_error()) {
        return server.error();
    }
    impl->server = std::move(server.value());
    return std::unique_ptr<OperatorService>(new OperatorService(std::move(impl)));
}

OperatorService::OperatorService(std::unique_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

OperatorService::~OperatorService() = default;

void OperatorService::execute(ReplyToOperator action)
{
    const RequestId id = action.request;
    this->impl->server->reply(id, [replyAction = std::move(action)] { return encodeOperatorReply(replyAction); });
}

void OperatorService::execute(const SetReadiness &action)
{
    this->impl->handler->readiness.set(action);
}

NetAddress OperatorService::address() const
{
    return this->impl->server->address();
}

void OperatorService::close()
{
    this->impl->server->close();
}

} // namespace Tanagertally
