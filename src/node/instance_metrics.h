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

/** What takes time and is measured. */
enum class MeasuredCall : std::uint8_t {
    Submission, ///< A caller's submission, from its arrival to its answer.
    Question, ///< A caller's question or cancelling.
    Commit, ///< A transaction of the store.
    Read, ///< A read of the store.
    Start, ///< An order to start a run.
    Stop, ///< An order to stop a run.
};

/**
 * The metrics. Thread safety: all methods may be called from any thread but count(), which one thread calls.
 */
class InstanceMetrics
{
public:
    /** Make the metrics, all at zero. */
    InstanceMetrics();

    /** Count a decision that was logged. */
    void count(std::string_view event);

    /** Note how long a call took, and how it ended. */
    void observe(MeasuredCall call, std::string_view outcome, Duration took);

    /** @return All metrics as text. */
    std::string text() const;

private:
    prometheus::Registry registry; ///< Holds the families.
    prometheus::Family<prometheus::Counter> &decisions; ///< By event.
    prometheus::Family<prometheus::Histogram> &latencies; ///< By call and outcome.
    std::map<std::string, prometheus::Counter *, std::less<>> counters; ///< Of `decisions`.
};

} // namespace Tanagertally::Cells
