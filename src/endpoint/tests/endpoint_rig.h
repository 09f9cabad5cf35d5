/** What the tests of the endpoint adapter share: a pool with one endpoint, and a scripted server. */
#pragma once

#include "endpoint/endpoint_pool.h"
#include "endpoint/tests/event_reader.h"
#include "endpoint/tests/test_server.h"

#include <future>

namespace Tanagertally {

inline std::ostream &operator<<(std::ostream &out, AttemptOutcome outcome)
{
    return out << static_cast<int>(outcome);
}

constexpr EndpointId Endpoint{1};
constexpr Duration AnyIdle = std::chrono::hours(1);

/** A pool with one endpoint. */
struct EndpointRig : EventReader {
    explicit EndpointRig(const NetAddress &address, EndpointPoolOptions options = {})
        : pool(EndpointPool::create(io.context, events, options).value())
    {
        this->pool->carryOut(AddEndpoint{Endpoint, address});
    }
    void start(std::uint64_t attempt, Duration maxIdle = AnyIdle, std::string payload = "{}")
    {
        this->pool->carryOut(StartAttempt{AttemptId(attempt), Endpoint, JobKey("job"), static_cast<std::uint32_t>(attempt),
                                          KindName("confirm"), std::make_shared<const std::string>(std::move(payload)), maxIdle});
    }
    void abandon(std::uint64_t attempt)
    {
        this->pool->carryOut(AbandonAttempt{AttemptId(attempt)});
    }
    AttemptEnded run(std::uint64_t attempt, Duration maxIdle = AnyIdle)
    {
        this->start(attempt, maxIdle);
        return this->await<AttemptEnded>();
    }

    RunningIo io{2};
    std::unique_ptr<EndpointPool> pool;
};

/** A condition that one thread sets once and others await. */
class Signal
{
public:
    void set()
    {
        this->promise.set_value();
    }
    /** @return Whether it was set in time. */
    bool await() const
    {
        return this->future.wait_for(EventTimeout) == std::future_status::ready;
    }

private:
    std::promise<void> promise;
    std::shared_future<void> future = promise.get_future().share();
};

/** Answer every request on a connection with the number of the connection. */
inline void answerAll(ServerConnection &connection, int number)
{
    while (!connection.readRequest().empty()) {
        connection.answer("200 OK", std::to_string(number));
    }
}

} // namespace Tanagertally
