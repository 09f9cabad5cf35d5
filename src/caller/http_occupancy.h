/** Memory and age of the connections of one listener, and which of them are closed when either memory or connections run short. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Tanagertally {

/** What a connection is doing, as far as closing it early is concerned. */
enum class HttpActivity : std::uint8_t {
    Idle, ///< No request is in progress.
    Transfer, ///< A request is arriving or a reply is being written, for as long as the caller takes.
    Call, ///< A request awaits its reply. The connection is not closed early, as the request may have had an effect.
};

/**
 * The connections of a listener, each with its activity and the memory that it holds.
 *
 * Pattern: many callers that send most of a request and then nothing. A request from an ordinary caller is complete within a few round
 * trips, so that the transfer that began first is the least likely one to end.
 *
 * Thread safety: all methods may be called from any thread.
 */
template<typename Session>
class HttpOccupancy
{
private:
    struct Entry {
        std::weak_ptr<Session> session; ///< The connection.
        HttpActivity activity = HttpActivity::Idle; ///< Its activity; determines the list that it is in.
        bool isEvicted = false; ///< Whether it was returned for eviction since its activity last changed; then it counts no memory.
        std::size_t bytes = 0; ///< Memory that it holds.
        std::uint64_t order = 0; ///< Increases with each change of activity.
    };
    using Entries = std::list<Entry>;

public:
    using Slot = typename Entries::iterator; ///< Refers to one connection; valid until remove().
    using Sessions = std::vector<std::shared_ptr<Session>>; ///< Connections that have to be evicted.

    /** Creates an empty set of connections. @param memoryLimit Memory in bytes that all of them may hold. */
    explicit HttpOccupancy(std::size_t memoryLimit)
        : maxBytes(memoryLimit)
    {
    }

    /** Adds a connection, as idle. @param bytes Memory that it holds. @return Its slot, to be passed to remove(). */
    Slot add(std::weak_ptr<Session> session, std::size_t bytes)
    {
        const std::lock_guard lock(this->mutex);
        Entries &entries = this->entriesOf(HttpActivity::Idle);
        entries.push_back({std::move(session), HttpActivity::Idle, false, bytes, ++this->lastOrder});
        this->totalBytes += bytes;
        return std::prev(entries.end());
    }

    /** Removes a connection. */
    void remove(Slot slot)
    {
        const std::lock_guard lock(this->mutex);
        this->totalBytes -= countedBytes(*slot);
        this->entriesOf(slot->activity).erase(slot);
    }

    /** Records that a connection begins an activity. @return Connections that have to be evicted for its memory. */
    Sessions begin(Slot slot, HttpActivity activity, std::size_t bytes)
    {
        const std::lock_guard lock(this->mutex);
        Entries &entries = this->entriesOf(activity);
        entries.splice(entries.end(), this->entriesOf(slot->activity), slot);
        this->totalBytes -= countedBytes(*slot);
        slot->activity = activity;
        slot->isEvicted = false;
        slot->bytes = bytes;
        slot->order = ++this->lastOrder;
        this->totalBytes += bytes;
        return this->extractExcess();
    }

    /** Records the memory of a connection during an activity. @return Connections that have to be evicted for it. */
    Sessions resize(Slot slot, std::size_t bytes)
    {
        const std::lock_guard lock(this->mutex);
        this->totalBytes -= countedBytes(*slot);
        slot->bytes = bytes;
        this->totalBytes += countedBytes(*slot);
        return this->extractExcess();
    }

    /** @return The connection that began its activity first and awaits no reply, to be evicted; null if there is none. */
    std::shared_ptr<Session> extractOldest()
    {
        const std::lock_guard lock(this->mutex);
        const auto idle = this->findEvictable(HttpActivity::Idle);
        const auto transfer = this->findEvictable(HttpActivity::Transfer);
        if (!idle || !transfer) {
            return this->evict(idle ? idle : transfer);
        }
        return this->evict((*idle)->order < (*transfer)->order ? idle : transfer);
    }

    /** @return Memory that the connections hold, without those that are being evicted. */
    std::size_t bytes() const
    {
        const std::lock_guard lock(this->mutex);
        return this->totalBytes;
    }

private:
    static std::size_t countedBytes(const Entry &entry)
    {
        return entry.isEvicted ? 0 : entry.bytes;
    }

    Entries &entriesOf(HttpActivity activity)
    {
        return activity == HttpActivity::Idle ? this->idle : activity == HttpActivity::Transfer ? this->transfers : this->calls;
    }

    std::optional<Slot> findEvictable(HttpActivity activity)
    {
        Entries &entries = this->entriesOf(activity);
        // Evicted entries are few, as they leave the list at their next change of activity.
        for (Slot slot = entries.begin(); slot != entries.end(); ++slot) {
            if (!slot->isEvicted && !slot->session.expired()) {
                return slot;
            }
        }
        return std::nullopt;
    }

    std::shared_ptr<Session> evict(std::optional<Slot> slot)
    {
        if (!slot) {
            return nullptr;
        }
        this->totalBytes -= (*slot)->bytes;
        (*slot)->isEvicted = true;
        return (*slot)->session.lock();
    }

    Sessions extractExcess()
    {
        Sessions excess;
        while (this->totalBytes > this->maxBytes) {
            const auto transfer = this->findEvictable(HttpActivity::Transfer);
            const auto slot = transfer ? transfer : this->findEvictable(HttpActivity::Idle);
            if (!slot) {
                break;
            }
            if (auto session = this->evict(slot)) {
                excess.push_back(std::move(session));
            }
        }
        return excess;
    }

    const std::size_t maxBytes; ///< Memory in bytes that the connections may hold.
    mutable std::mutex mutex; ///< Guards all members below.
    Entries idle; ///< Idle connections, in the order in which they became idle.
    Entries transfers; ///< Connections with a request or reply under way, in the order in which it began.
    Entries calls; ///< Connections that await a reply.
    std::size_t totalBytes = 0; ///< Sum of the memory of all connections that are not being evicted.
    std::uint64_t lastOrder = 0; ///< Last order assigned.
};

} // namespace Tanagertally
