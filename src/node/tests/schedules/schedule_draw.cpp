#include "node/tests/schedules/schedule.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace Tanagertally::Cells::Test {

namespace {

using namespace std::chrono_literals;

constexpr std::array<ScheduleFamily, 6> Families = {{
    {"small", 3, 1, 2, 1, 1, 3, false, false},
    {"one-domain", 5, 1, 4, 6, 4, 6, false, false},
    {"two-domains", 5, 2, 4, 4, 3, 6, false, false},
    {"returning", 4, 2, 4, 3, 2, 4, true, false},
    {"returning-many", 8, 3, 6, 6, 4, 8, true, false},
    {"stored", 5, 2, 4, 4, 3, 6, false, true},
}};

constexpr std::array<std::string_view, FaultKindCount> KindNames
    = {"kill",           "power-loss",  "power-loss-of-all",  "suspend",      "planned-stop", "store-cut",        "store-answers-lost",
       "store-late",     "peer-cut",    "peer-cut-in",        "peer-cut-out", "link-reset",   "endpoint-cut",     "endpoint-cut-from-one",
       "endpoint-crash", "orders-late", "order-answers-lost", "orders-lost",  "stops-lost",   "endpoints-refuse", "drain",
       "caller-leaves"};

constexpr std::array<std::string_view, 6> EventNames = {"commit", "start", "hold", "stop", "send", "answer"};

/** @return A length that suits a kind of fault. */
Duration drawLength(RandomEngine &random, FaultKind kind)
{
    const auto between = [&random](Duration least, Duration most) {
        return least + std::chrono::milliseconds(drawBelow(random, static_cast<std::uint64_t>((most - least) / 1ms) + 1));
    };
    switch (kind) {
    case FaultKind::Kill:
    case FaultKind::PlannedStop:
        return between(50ms, 1500ms);
    case FaultKind::Suspend:
        return drawBelow(random, 2) == 0 ? between(300ms, 1000ms) : between(1s, 4s);
    case FaultKind::OrdersLost:
    case FaultKind::OrderAnswersLost:
    case FaultKind::EndpointsRefuse:
        return drawBelow(random, 2) == 0 ? between(20ms, 400ms) : between(400ms, 4s);
    default:
        return between(300ms, 4s);
    }
}

Fault drawFault(RandomEngine &random, std::span<const FaultKind> kinds)
{
    Fault fault;
    fault.kind = kinds[drawBelow(random, kinds.size())];
    fault.trigger = static_cast<WorldEvent>(drawBelow(random, EventNames.size()));
    fault.occurrence = static_cast<std::uint32_t>(1 + drawBelow(random, drawBelow(random, 2) == 0 ? 3 : 25));
    constexpr std::array<std::uint64_t, 3> Spreads = {1, 30, 1500};
    fault.delay = std::chrono::milliseconds(drawBelow(random, Spreads[drawBelow(random, Spreads.size())]));
    fault.length = drawLength(random, fault.kind);
    fault.hitsOther = drawBelow(random, 3) == 0;
    fault.target = static_cast<std::uint32_t>(drawBelow(random, 64));
    return fault;
}

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

std::span<const ScheduleFamily> scheduleFamilies()
{
    return Families;
}

Schedule drawSchedule(const ScheduleFamily &family, std::uint64_t seed)
{
    RandomEngine random(seed);
    const auto upTo = [&random](std::size_t least, std::size_t most) { return least + drawBelow(random, most - least + 1); };
    Schedule schedule;
    schedule.seed = seed;
    schedule.domains = upTo(1, family.maxDomains);
    schedule.nodes = upTo(std::max<std::size_t>(2, schedule.domains), family.maxNodes);
    schedule.endpoints = upTo(std::max<std::size_t>(2, schedule.domains), family.maxEndpoints);
    schedule.doCallersReturn = family.doCallersReturn;
    schedule.haveStoredJobs = family.haveStoredJobs;
    schedule.areClocksSlow = drawBelow(random, 2) == 0;
    schedule.jobs = static_cast<std::uint32_t>(upTo(1, family.maxJobs));
    schedule.tasks = static_cast<std::uint32_t>(upTo(1, family.maxTasks));
    // A few kinds of faults are switched on in each schedule and meet more often than if all were.
    std::array<FaultKind, FaultKindCount> kinds{};
    for (std::size_t kind = 0; kind < FaultKindCount; ++kind) {
        kinds[kind] = static_cast<FaultKind>(kind);
    }
    std::ranges::shuffle(kinds, random);
    const std::span<const FaultKind> enabled(kinds.data(), upTo(1, 5));
    const std::size_t count = upTo(1, family.maxFaults);
    for (std::size_t number = 0; number < count; ++number) {
        schedule.faults.push_back(drawFault(random, enabled));
    }
    return schedule;
}

std::string toText(const Schedule &schedule)
{
    std::string text = "seed " + std::to_string(schedule.seed) + ": " + std::to_string(schedule.nodes) + " instances, "
                       + std::to_string(schedule.domains) + " domains, " + std::to_string(schedule.endpoints) + " endpoints"
                       + (schedule.areClocksSlow ? " with slow clocks" : "") + ", " + std::to_string(schedule.jobs)
                       + (schedule.haveStoredJobs ? " jobs, some stored, of up to " : " best-effort jobs of up to ")
                       + std::to_string(schedule.tasks) + " tasks, callers " + (schedule.doCallersReturn ? "return" : "don't return")
                       + "\n";
    for (const Fault &fault : schedule.faults) {
        text += "  " + std::to_string(toMs(fault.delay)) + " ms after " + std::string(EventNames[static_cast<std::size_t>(fault.trigger)])
                + " " + std::to_string(fault.occurrence) + ": " + std::string(KindNames[static_cast<std::size_t>(fault.kind)]) + " for "
                + std::to_string(toMs(fault.length)) + " ms, " + (fault.hitsOther ? "another" : "the same") + " instance, target "
                + std::to_string(fault.target) + "\n";
    }
    return text;
}

Schedule shrinkSchedule(Schedule schedule)
{
    const auto fails = [](const Schedule &candidate) { return !runSchedule(candidate).violations.empty(); };
    bool hasShrunk = true;
    while (hasShrunk) {
        hasShrunk = false;
        for (std::size_t number = schedule.faults.size(); number-- > 0;) {
            Schedule candidate = schedule;
            candidate.faults.erase(candidate.faults.begin() + static_cast<std::ptrdiff_t>(number));
            if (fails(candidate)) {
                schedule = std::move(candidate);
                hasShrunk = true;
            }
        }
        for (const auto field : {&Schedule::jobs, &Schedule::tasks}) {
            Schedule candidate = schedule;
            if (candidate.*field > 1 && (--(candidate.*field), fails(candidate))) {
                schedule = std::move(candidate);
                hasShrunk = true;
            }
        }
    }
    return schedule;
}

} // namespace Tanagertally::Cells::Test
