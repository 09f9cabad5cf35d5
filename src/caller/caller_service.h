/** The callers' interface: JSON over HTTP, turned into events of the decision part and back. */
#pragma once

#include "caller/http_type.h"
#include "controllers/action_type.h"
#include "controllers/event_queue.h"
#include "core/result_type.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Tanagertally {

/** Secret by which the callers of one team are known. */
struct TeamKey {
    TeamName team; ///< The team.
    std::string secret; ///< What its callers send as bearer token; never logged.
};

/** Set-up of a CallerService. */
struct CallerServiceOptions {
    NetAddress listen; ///< Where to listen; port 0 for any free port.
    std::vector<TeamKey> teams; ///< Known teams; if empty, every caller is of team "default".
    HttpLimits limits; ///< Limits of the listener.
};

/**
 * Serves callers on one listener.
 * Thread safety: carryOut() from the control thread; stopAccepting() and close() from any thread that doesn't run the io_context.
 */
class CallerService
{
public:
    /**
     * Start listening.
     * @param io Its threads do the traffic; has to outlive the service.
     * @param events Where requests go; has to outlive the service.
     * @param options Set-up.
     * @return The service, or BadInput for a malformed address or team, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<CallerService>> create(boost::asio::io_context &io, EventQueue &events, CallerServiceOptions options);

    ~CallerService();
    CallerService(const CallerService &) = delete;
    CallerService &operator=(const CallerService &) = delete;

    /** Send a reply to a call; dropped if its connection is gone. Doesn't block. */
    void carryOut(ReplyToCaller action);

    /** Change what /readyz answers. Doesn't block. */
    void carryOut(const SetReadiness &action);

    /** @return The address that it listens at, with the port that was bound. */
    NetAddress address() const;

    /** Accept no more connections; each open one ends with its next reply. */
    void stopAccepting();

    /** Close everything. Returns when all replies handed over have been written, or after 2 s. */
    void close();

private:
    class Impl;
    explicit CallerService(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Handler and server.
};

} // namespace Tanagertally
