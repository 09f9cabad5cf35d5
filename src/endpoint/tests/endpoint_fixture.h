/** Shared helpers for tests of the endpoint adapter: an endpoint pool with one endpoint, signals and a server script. */
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

/** Endpoint pool under test with one endpoint and the events that it pushes. */
struct EndpointFixture : EventReader {
    explicit EndpointFixture(const NetAddress &address, EndpointPoolOptions options = {})
        : pool(EndpointPool::create(io.context, events, options).value())
    {
        this->pool->execute(AddEndpoint{Endpoint, address});
    }
    void start(std::uint64_t attempt, Duration maxIdle = AnyIdle, std::string payload = "{}")
    {
        this->pool->execute(StartAttempt{AttemptId(attempt), Endpoint, JobKey("job"), static_cast<std::uint32_t>(attempt),
                                         KindName("confirm"), std::make_shared<const std::string>(std::move(payload)), maxIdle});
    }
    void abandon(std::uint64_t attempt)
    {
        this->pool->execute(AbandonAttempt{AttemptId(attempt)});
    }
    AttemptEnded run(std::uint64_t attempt, Duration maxIdle = AnyIdle)
    {
        this->start(attempt, maxIdle);
        return this->await<AttemptEnded>();
    }

    RunningIo io{2};
    std::unique_ptr<EndpointPool> pool;
};

/** One-shot event that one thread sets and others wait for. */
class Signal
{
public:
    void set()
    {
        this->promise.set_value();
    }
    /** @return Whether the signal was set within EventTimeout. */
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
