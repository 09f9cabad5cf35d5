/** The control port: carries out commands on the endpoints and the platform. */
#pragma once

#include "command_type.h"
#include "fleet.h"

#include <nlohmann/json.hpp>

namespace Tanagertally::Standins {

/**
 * The control port.
 * Thread safety: any thread. The io_context has to be stopped before it is destroyed.
 */
class Control
{
    struct Private {
        explicit Private() = default;
    };

public:
    /**
     * Make a control port that serves POST /control at once.
     * @param io Context that runs it.
     * @param listen Where it listens.
     * @param fleet The endpoints; outlives the control port.
     * @param platform The platform; outlives the control port.
     * @return The control port, or an error if its port can't be bound.
     */
    static Result<std::unique_ptr<Control>> create(boost::asio::io_context &io, HttpListenerOptions listen, Fleet &fleet,
                                                   Platform &platform);

    Control(Private, Fleet &fleet, Platform &platform);

    /** Carry out a command. @return The answer document, or an error; a command that fails may have acted on some of its scope. */
    Result<nlohmann::json> execute(const Command &command);

    /** @return Where everything serves, as one document. */
    nlohmann::json addresses() const;

private:
    void serve(const HttpConnectionPtr &connection);

    Result<nlohmann::json> executeCommand(const ChangeEndpointFaults &command);
    Result<nlohmann::json> executeCommand(const ClearEndpointFaults &command);
    Result<nlohmann::json> executeCommand(const LeaveEndpoints &command);
    Result<nlohmann::json> executeCommand(const KillEndpoints &command);
    Result<nlohmann::json> executeCommand(const ReviveEndpoints &command);
    Result<nlohmann::json> executeCommand(const SilenceConnections &command);
    Result<nlohmann::json> executeCommand(const ChangePlatformFaults &command);
    Result<nlohmann::json> executeCommand(const ClearPlatformFaults &command);
    Result<nlohmann::json> executeCommand(const CutClients &command);
    Result<nlohmann::json> executeCommand(const HealClients &command);
    Result<nlohmann::json> executeCommand(const ChangePlatformSpeed &command);
    Result<nlohmann::json> executeCommand(const SetListLag &command);
    Result<nlohmann::json> executeCommand(const AddInstance &command);
    Result<nlohmann::json> executeCommand(const LeaveInstance &command);
    Result<nlohmann::json> executeCommand(const RemoveInstance &command);
    Result<nlohmann::json> executeCommand(const DumpTable &command);
    Result<nlohmann::json> executeCommand(const ReportCounters &command);
    Result<nlohmann::json> executeCommand(const ReportStarts &command);
    Result<nlohmann::json> executeCommand(const ReportAddresses &command);
    Result<nlohmann::json> executeCommand(const ResetCounters &command);

    void changeList(ListChange change, bool atOnce);

    std::unique_ptr<HttpListener> listener; ///< Its port.
    Fleet &fleet; ///< The endpoints.
    Platform &platform; ///< The platform.
};

} // namespace Tanagertally::Standins
