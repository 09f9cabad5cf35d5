#include "node/instance_metrics.h"

#include <prometheus/text_serializer.h>

#include <array>

namespace Tanagertally::Cells {

namespace {

/** Bucket bounds in seconds; dense around a store call of 4 ms and the callers' latency objectives of 150 ms to 1.5 s. */
const prometheus::Histogram::BucketBoundaries LatencyBounds
    = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2.5, 5};

/** Values of the `call` label, in the order of MeasuredCall. */
constexpr std::array<std::string_view, 7> CallNames = {"submission", "question", "commit", "read", "follow", "start", "stop"};

} // namespace

InstanceMetrics::InstanceMetrics()
    : decisions(prometheus::BuildCounter()
                    .Name("tanagertally_decisions_total")
                    .Help("Decisions and changes of belief, by the event of their log line.")
                    .Register(this->registry))
    , latencies(prometheus::BuildHistogram()
                    .Name("tanagertally_call_seconds")
                    .Help("Time that calls took, by kind of call and outcome.")
                    .Register(this->registry))
    , evacuatedDomains(prometheus::BuildGauge()
                           .Name("tanagertally_evacuated_domains")
                           .Help("Failure domains that operators have evacuated, as known to this instance.")
                           .Register(this->registry)
                           .Add({}))
    , loopDelays(prometheus::BuildHistogram()
                     .Name("tanagertally_loop_delay_seconds")
                     .Help("Time by which the event loop ran a tick later than planned.")
                     .Register(this->registry)
                     .Add({}, LatencyBounds))
{
}

void InstanceMetrics::countEvent(std::string_view event)
{
    auto counter = this->counters.find(event);
    if (counter == this->counters.end()) {
        counter = this->counters.emplace(event, &this->decisions.Add({{"event", std::string(event)}})).first;
    }
    counter->second->Increment();
}

void InstanceMetrics::observe(MeasuredCall call, std::string_view outcome, Duration elapsed)
{
    const std::string name(CallNames.at(static_cast<std::size_t>(call)));
    this->latencies.Add({{"call", name}, {"outcome", std::string(outcome)}}, LatencyBounds)
        .Observe(std::chrono::duration<double>(elapsed).count());
}

void InstanceMetrics::observeLoopDelay(Duration delay)
{
    this->loopDelays.Observe(std::chrono::duration<double>(delay).count());
}

void InstanceMetrics::setEvacuatedDomains(std::size_t count)
{
    this->evacuatedDomains.Set(static_cast<double>(count));
}

std::string InstanceMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace Tanagertally::Cells
