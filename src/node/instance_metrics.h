/** Counters and latency histograms of one instance, in the Prometheus text format. */
#pragma once

#include "core/time_type.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Tanagertally::Cells {

/** Kinds of calls whose latency is recorded. */
enum class MeasuredCall : std::uint8_t {
    Submission, ///< A caller's submission, from its arrival to its answer.
    Question, ///< A caller's status query or cancellation.
    Commit, ///< A store transaction.
    Read, ///< A store read.
    Follow, ///< A long poll for changes of a store table.
    Start, ///< A request to an endpoint to start a run.
    Stop, ///< A request to an endpoint to stop a run.
};

/**
 * Metrics registry of an instance. Thread safety: count() must always be called on the same thread; the other methods may be called from
 * any thread.
 */
class InstanceMetrics
{
public:
    /** Register the metric families. */
    InstanceMetrics();

    /** Increment the counter of a logged event. */
    void countEvent(std::string_view event);

    /** Record the latency and the outcome of a call. */
    void observe(MeasuredCall call, std::string_view outcome, Duration elapsed);

    /** Record how late the event loop ran a tick. */
    void observeLoopDelay(Duration delay);

    /** Set the number of evacuated failure domains. */
    void setEvacuatedDomains(std::size_t count);

    /** @return All metrics in the Prometheus text format. */
    std::string text() const;

private:
    prometheus::Registry registry; ///< Owns the families.
    prometheus::Family<prometheus::Counter> &decisions; ///< Counters of logged events, labelled by event.
    prometheus::Family<prometheus::Histogram> &latencies; ///< Call latencies in seconds, labelled by call and outcome.
    prometheus::Gauge &evacuatedDomains; ///< Number of evacuated failure domains; owned by the registry.
    prometheus::Histogram &loopDelays; ///< Delays of the event loop in seconds; owned by the registry.
    std::map<std::string, prometheus::Counter *, std::less<>> counters; ///< Counters of `decisions` by event; owned by the family.
};

} // namespace Tanagertally::Cells
