#include "daemon/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <span>
#include <sstream>
#include <vector>

namespace Tanagertally {

namespace {

using prometheus::MetricType;

/** A metric whose value is one member of a struct of statistics. */
template<typename Stats>
struct StatMetric {
    const char *name; ///< Metric name.
    const char *help; ///< Help text.
    MetricType type; ///< Counter or gauge.
    std::uint64_t Stats::*member; ///< Member that holds the value.
};

constexpr StatMetric<CoordinatorStats> CoordinatorMetrics[] = {
    {"tanagertally_jobs_submitted_total", "Jobs submitted to this instance as their home.", MetricType::Counter,
     &CoordinatorStats::jobsSubmitted},
    {"tanagertally_jobs_complete_total", "Jobs answered complete.", MetricType::Counter, &CoordinatorStats::jobsComplete},
    {"tanagertally_jobs_failed_total", "Jobs answered failed.", MetricType::Counter, &CoordinatorStats::jobsFailed},
    {"tanagertally_refusals_total", "Submissions refused.", MetricType::Counter, &CoordinatorStats::refusals},
    {"tanagertally_attempts_started_total", "Attempts started on endpoints.", MetricType::Counter, &CoordinatorStats::attemptsStarted},
    {"tanagertally_attempts_succeeded_total", "Attempts that succeeded.", MetricType::Counter, &CoordinatorStats::attemptsSucceeded},
    {"tanagertally_attempts_refused_total", "Attempts that an endpoint refused before starting.", MetricType::Counter,
     &CoordinatorStats::attemptsRefused},
    {"tanagertally_attempts_failed_total", "Attempts that failed at the endpoint.", MetricType::Counter, &CoordinatorStats::attemptsFailed},
    {"tanagertally_attempts_lost_total", "Attempts that ended without evidence of whether they ran.", MetricType::Counter,
     &CoordinatorStats::attemptsLost},
    {"tanagertally_retries_total", "Attempts after the first of their task.", MetricType::Counter, &CoordinatorStats::retries},
    {"tanagertally_hedges_total", "Attempts started beside a running one of their task.", MetricType::Counter, &CoordinatorStats::hedges},
    {"tanagertally_probes_total", "Health probes of endpoints.", MetricType::Counter, &CoordinatorStats::probes},
    {"tanagertally_forwards_total", "Requests forwarded to the home of their key.", MetricType::Counter, &CoordinatorStats::forwards},
    {"tanagertally_claims_total", "Claim rows written to the platform's table.", MetricType::Counter, &CoordinatorStats::claims},
    {"tanagertally_tasks_queued", "Tasks that wait now.", MetricType::Gauge, &CoordinatorStats::queued},
    {"tanagertally_attempts_running", "Attempts in flight now.", MetricType::Gauge, &CoordinatorStats::running},
    {"tanagertally_jobs_held", "Job records held now.", MetricType::Gauge, &CoordinatorStats::jobsHeld},
    {"tanagertally_endpoints", "Endpoints known now.", MetricType::Gauge, &CoordinatorStats::endpoints},
    {"tanagertally_endpoints_ejected", "Endpoints ejected now.", MetricType::Gauge, &CoordinatorStats::endpointsEjected},
    {"tanagertally_config_version", "Version of the fleet configuration in force.", MetricType::Gauge, &CoordinatorStats::configVersion},
};

constexpr StatMetric<PeerLinksStats> PeerMetrics[] = {
    {"tanagertally_peer_links_opened_total", "Peer links that came up.", MetricType::Counter, &PeerLinksStats::openedLinks},
    {"tanagertally_peer_links_closed_total", "Peer links that went down.", MetricType::Counter, &PeerLinksStats::closedLinks},
    {"tanagertally_peer_refused_key_total", "Peer connections refused for a wrong key.", MetricType::Counter,
     &PeerLinksStats::wrongKeyRefusals},
    {"tanagertally_peer_refused_version_total", "Peer connections refused for another protocol version.", MetricType::Counter,
     &PeerLinksStats::wrongVersionRefusals},
    {"tanagertally_peer_silences_total", "Peer links closed because nothing arrived.", MetricType::Counter,
     &PeerLinksStats::silenceTimeouts},
    {"tanagertally_peer_overflows_total", "Peer links closed because too much was waiting to be sent.", MetricType::Counter,
     &PeerLinksStats::sizeLimitCloses},
    {"tanagertally_peer_malformed_total", "Peer connections closed because of a malformed message.", MetricType::Counter,
     &PeerLinksStats::malformedMessages},
};

prometheus::MetricFamily makeFamily(const char *name, const char *help, MetricType type, double value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = value;
    metric.gauge.value = value;
    prometheus::MetricFamily result;
    result.name = name;
    result.help = help;
    result.type = type;
    result.metric.push_back(std::move(metric));
    return result;
}

template<typename Stats>
void appendFamilies(std::vector<prometheus::MetricFamily> &families, std::span<const StatMetric<Stats>> table, const Stats &stats)
{
    for (const StatMetric<Stats> &row : table) {
        families.push_back(makeFamily(row.name, row.help, row.type, static_cast<double>(stats.*row.member)));
    }
}

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration toDuration(const timeval &time)
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

} // namespace

ProcessStats readProcessStats()
{
    ProcessStats stats;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        stats.processorTime = toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
    }
    std::ifstream stream("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (stream >> totalPages >> residentPages) {
        stats.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return stats;
}

std::string formatMetrics(const MetricsInput &input)
{
    std::vector<prometheus::MetricFamily> families;
    appendFamilies<CoordinatorStats>(families, CoordinatorMetrics, input.control.coordinatorStats);
    appendFamilies<PeerLinksStats>(families, PeerMetrics, input.peers);
    families.push_back(makeFamily("tanagertally_platform_list_failures_total", "Reads of the platform's instance list that failed.",
                                  MetricType::Counter, static_cast<double>(input.listFailures)));
    families.push_back(makeFamily("tanagertally_control_events_total", "Events handled by the control thread.", MetricType::Counter,
                                  static_cast<double>(input.control.events)));
    families.push_back(makeFamily("tanagertally_control_batches_total", "Batches of events handled by the control thread.",
                                  MetricType::Counter, static_cast<double>(input.control.batches)));
    families.push_back(makeFamily("tanagertally_control_cpu_seconds_total", "Processor time of the control thread.", MetricType::Counter,
                                  inSeconds(input.control.processorTime)));
    families.push_back(makeFamily("tanagertally_process_cpu_seconds_total", "Processor time of the process.", MetricType::Counter,
                                  inSeconds(input.process.processorTime)));
    families.push_back(makeFamily("tanagertally_process_resident_memory_bytes", "Resident memory of the process.", MetricType::Gauge,
                                  static_cast<double>(input.process.residentBytes)));
    std::ostringstream page;
    prometheus::TextSerializer().Serialize(page, families);
    return page.str();
}

} // namespace Tanagertally
