/** The callers' interface: JSON over HTTP, translated into events for the coordinator, and its replies back. */
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

/** Secret with which the callers of one team authenticate. */
struct TeamKey {
    TeamName team; ///< Client account that the callers belong to.
    std::string secret; ///< Bearer token of its callers; never logged.
};

/** Options of a CallerService. */
struct CallerServiceOptions {
    NetAddress listen; ///< Listen address; port 0 for any free port.
    std::vector<TeamKey> teams; ///< Known teams; if empty, every caller belongs to team "default".
    HttpLimits limits; ///< Limits of the listener.
};

/**
 * HTTP service for callers, on one listener.
 * Thread safety: execute() from the control thread; stopAccepting() and close() from any thread that doesn't run the io_context.
 */
class CallerService
{
public:
    /**
     * Starts listening.
     * @param io Runs all I/O of the service; must outlive it.
     * @param events Queue that receives the requests as events; must outlive the service.
     * @param options Listen address, teams and limits.
     * @return The service, or BadInput for a malformed address or team, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<CallerService>> create(boost::asio::io_context &io, EventQueue &events, CallerServiceOptions options);

    ~CallerService();
    CallerService(const CallerService &) = delete;
    CallerService &operator=(const CallerService &) = delete;

    /** Sends the reply to a call, or drops it if the connection is closed. Doesn't block. */
    void execute(ReplyToCaller action);

    /** Updates the state reported by /readyz. Doesn't block. */
    void execute(const SetReadiness &action);

    /** @return The listen address, with the port that was bound. */
    NetAddress address() const;

    /** Stops accepting connections, and closes each open one after its next reply. */
    void stopAccepting();

    /** Closes the listener and all connections. Returns when all replies passed to execute() are written, or after 2 s. */
    void close();

private:
    class Impl;
    explicit CallerService(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl; ///< Owns the handler and the server.
};

} // namespace Tanagertally
