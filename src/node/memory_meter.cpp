#include "node/memory_meter.h"

#include <malloc.h>

#include <utility>

namespace Tanagertally::Cells {

namespace {

constexpr Duration MaxAge = std::chrono::milliseconds(100); // Age at which a measurement is repeated.
constexpr Duration MinAge = std::chrono::milliseconds(10); // Bounds the time spent on measurements while jobs are refused.
constexpr std::size_t MaxAdmittedPart = 32; // Divisor of the limit: jobs admitted after which a measurement is repeated.
constexpr std::size_t TransientPart = 8; // Divisor of the limit: what jobs that are passed on may take beyond it.

} // namespace

std::size_t measureHeapBytes()
{
    const struct mallinfo2 heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

MemoryMeter::MemoryMeter(std::size_t limit, std::function<std::size_t()> measureBytes)
    : maxHeapBytes(limit)
    , measure(std::move(measureBytes))
{
}

bool MemoryMeter::admit(TimePoint now, std::size_t bytes)
{
    if (!this->hasRoom(now, bytes, this->maxHeapBytes)) {
        return false;
    }
    this->admittedBytes += bytes;
    return true;
}

bool MemoryMeter::admitTransient(TimePoint now, std::size_t bytes)
{
    return this->hasRoom(now, bytes, this->maxHeapBytes + this->maxHeapBytes / TransientPart);
}

bool MemoryMeter::hasRoom(TimePoint now, std::size_t bytes, std::size_t maxBytes)
{
    if (this->maxHeapBytes == std::numeric_limits<std::size_t>::max()) {
        return true;
    }
    const auto fits = [&] { return this->measuredBytes + this->admittedBytes + bytes <= maxBytes; };
    const Duration age = now - this->measuredAt;
    const bool isOutdated = age >= MaxAge || this->admittedBytes > this->maxHeapBytes / MaxAdmittedPart;
    if (isOutdated || (!fits() && age >= MinAge)) {
        this->measuredBytes = this->measure();
        this->admittedBytes = 0;
        this->measuredAt = now;
    }
    return fits();
}

} // namespace Tanagertally::Cells
