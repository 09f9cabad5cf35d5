/** What the connections of one listener share: who awaits a reply, which are open, and what has still to be written. */
#pragma once

#include "blackboard/id_type.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Tanagertally {

/**
 * Counts work that close() has to wait for.
 * Thread safety: all methods may be called from any thread.
 */
class WorkCount
{
public:
    /** Work in progress; the last copy ends it. */
    using Token = std::shared_ptr<void>;

    /** @return A token that counts as work until it is destroyed. The count has to outlive it. */
    Token begin()
    {
        const std::lock_guard lock(this->mutex);
        ++this->count;
        return Token(this, [](void *counter) { static_cast<WorkCount *>(counter)->end(); });
    }

    /** Wait until there is no work. @return Whether that came before the deadline. */
    bool waitUntilIdle(std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(this->mutex);
        return this->idle.wait_until(lock, deadline, [this] { return this->count == 0; });
    }

private:
    void end()
    {
        const std::lock_guard lock(this->mutex);
        --this->count;
        this->idle.notify_all();
    }

    std::mutex mutex; ///< Guards `count`.
    std::condition_variable idle; ///< Signalled when `count` falls.
    std::size_t count = 0; ///< Tokens alive.
};

/**
 * The open connections of a listener, and the calls for which one of them awaits a reply.
 * Thread safety: all methods may be called from any thread.
 */
template<typename Session>
class HttpCalls
{
public:
    /** Add a connection. @return Whether the listener is still open. */
    bool open(const std::shared_ptr<Session> &session)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed) {
            return false;
        }
        this->sessions.emplace(session.get(), session);
        return true;
    }

    /** Remove a connection. */
    void remove(const Session *session)
    {
        const std::lock_guard lock(this->mutex);
        this->sessions.erase(session);
    }

    /** Note that a connection awaits the reply to a call. @return Whether the listener is still open. */
    bool await(RequestId id, const std::shared_ptr<Session> &session)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed) {
            return false;
        }
        this->waiting.emplace(id, session);
        return true;
    }

    /** Take a call out. @return The connection that awaits its reply, or null if it was taken out before. */
    std::shared_ptr<Session> take(RequestId id)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->waiting.find(id);
        if (found == this->waiting.end()) {
            return nullptr;
        }
        std::shared_ptr<Session> session = found->second.lock();
        this->waiting.erase(found);
        return session;
    }

    /** Let in no more connections and calls. @return The connections that are open. */
    std::vector<std::shared_ptr<Session>> close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
            this->waiting.clear();
        }
        return this->openSessions();
    }

    /** @return The connections that are open. */
    std::vector<std::shared_ptr<Session>> openSessions()
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::shared_ptr<Session>> open;
        for (const auto &[address, session] : this->sessions) {
            if (auto alive = session.lock()) {
                open.push_back(std::move(alive));
            }
        }
        return open;
    }

private:
    std::mutex mutex; ///< Guards what follows.
    bool closed = false; ///< Whether the listener was closed.
    std::unordered_map<const Session *, std::weak_ptr<Session>> sessions; ///< Open connections.
    std::unordered_map<RequestId, std::weak_ptr<Session>> waiting; ///< Connections by the call whose reply they await.
};

} // namespace Tanagertally
