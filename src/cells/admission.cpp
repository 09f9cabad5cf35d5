#include "cells/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Tanagertally::Cells {

namespace {

constexpr std::size_t SlotsPerWidth = 32;
// Fine slots for the next 160 ms, in which short jobs have to start; coarser ones up to about 36 s.
constexpr std::array<Duration, 4> SlotWidths{std::chrono::milliseconds(5), std::chrono::milliseconds(20), std::chrono::milliseconds(100),
                                             std::chrono::seconds(1)};

constexpr double ShareHalfLifeMs = 1000;
constexpr double ShortShare = 0.9; // Of the offered work; refusals of single jobs that are too wide don't make room short.
constexpr double MinOffered = 1; // Core-milliseconds; a queue with less has no submissions lately.
constexpr Duration MinRetryDelay = std::chrono::seconds(1);
constexpr std::uint64_t SpreadSteps = 1024;

} // namespace

RoomForecast::RoomForecast(TimePoint start)
    : builtAt(start)
{
}

Duration RoomForecast::slotStart(std::size_t slot)
{
    Duration start{};
    for (const Duration width : SlotWidths) {
        const std::size_t slots = std::min(slot, SlotsPerWidth);
        start += static_cast<Duration::rep>(slots) * width;
        slot -= slots;
    }
    return start;
}

std::size_t RoomForecast::slotAt(TimePoint time) const
{
    Duration left = std::max(time - this->builtAt, Duration{});
    std::size_t slot = 0;
    for (const Duration width : SlotWidths) {
        const auto slots = std::min(static_cast<std::size_t>((left + width - Duration(1)) / width), SlotsPerWidth);
        slot += slots;
        left -= std::min(left, static_cast<Duration::rep>(slots) * width);
    }
    return left > Duration{} ? SlotCount : slot;
}

void RoomForecast::addRoom(TimePoint at, std::int64_t cpu)
{
    for (std::size_t slot = this->slotAt(at); slot < SlotCount; ++slot) {
        this->freeCpu[slot] += cpu;
    }
}

std::int64_t RoomForecast::freeBetween(std::size_t first, std::size_t end) const
{
    return *std::min_element(this->freeCpu.begin() + static_cast<std::ptrdiff_t>(first),
                             this->freeCpu.begin() + static_cast<std::ptrdiff_t>(end));
}

template<typename OnStart>
std::size_t RoomForecast::placeTasks(const TaskGroup &group, TimePoint from, OnStart onStart) const
{
    std::int64_t waiting = group.count;
    std::int64_t placedCpu = 0; // Of this group; tasks that have ended by the later slots count as running, which errs on the safe side.
    for (std::size_t slot = this->slotAt(from); slot < SlotCount; ++slot) {
        const std::size_t end = std::max(slot + 1, this->slotAt(this->builtAt + slotStart(slot) + group.runTime));
        const std::int64_t room = this->freeBetween(slot, end) - placedCpu;
        const std::int64_t starting = group.cpu > 0 ? std::clamp<std::int64_t>(room / group.cpu, 0, waiting) : waiting;
        if (starting == 0) {
            continue;
        }
        onStart(slot, end, starting * group.cpu);
        placedCpu += starting * group.cpu;
        waiting -= starting;
        if (waiting == 0) {
            return slot;
        }
    }
    return SlotCount;
}

TimePoint RoomForecast::expectedLastStart(const TaskGroup &group, TimePoint from) const
{
    const std::size_t slot = this->placeTasks(group, from, [](std::size_t, std::size_t, std::int64_t) {});
    return std::max(from, this->builtAt + slotStart(slot));
}

void RoomForecast::reserve(const TaskGroup &group, TimePoint from)
{
    struct Reservation {
        std::size_t first = 0;
        std::size_t end = 0;
        std::int64_t cpu = 0;
    };
    std::vector<Reservation> reservations;
    this->placeTasks(group, from, [&reservations](std::size_t first, std::size_t end, std::int64_t cpu) {
        reservations.push_back({first, end, cpu});
    });
    for (const Reservation &reservation : reservations) {
        for (std::size_t slot = reservation.first; slot < reservation.end; ++slot) {
            this->freeCpu[slot] -= reservation.cpu;
        }
    }
}

void QueueShares::decay(TimePoint now)
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - this->decayedAt).count();
    const double factor = std::exp2(-std::min(elapsedMs / ShareHalfLifeMs, 60.0));
    this->decayedAt = now;
    this->total = {};
    for (auto entry = this->shares.begin(); entry != this->shares.end();) {
        Share &share = entry->second;
        share.offered *= factor;
        share.accepted *= factor;
        if (share.offered < MinOffered) {
            entry = this->shares.erase(entry);
            continue;
        }
        this->total.offered += share.offered;
        this->total.accepted += share.accepted;
        ++entry;
    }
}

void QueueShares::record(TimePoint now, const QueueName &queue, double work, bool isAccepted)
{
    this->decay(now);
    Share &share = this->shares[queue];
    for (Share *sum : {&share, &this->total}) {
        sum->offered += work;
        sum->accepted += isAccepted ? work : 0;
    }
}

bool QueueShares::isShort() const
{
    return this->total.accepted < ShortShare * this->total.offered;
}

bool QueueShares::isAhead(const QueueName &queue) const
{
    const auto share = this->shares.find(queue);
    // Compares accepted / offered without a division.
    return this->isShort() && share != this->shares.end()
           && share->second.accepted * this->total.offered > this->total.accepted * share->second.offered;
}

Duration retryDelay(const JobId &id, Duration backlog)
{
    const Duration delay = std::max(backlog, MinRetryDelay);
    const std::uint64_t step = stableHash(id.value, 0) % SpreadSteps;
    return delay + delay * static_cast<Duration::rep>(step) / static_cast<Duration::rep>(SpreadSteps);
}

} // namespace Tanagertally::Cells
