/** Bookkeeping of one listener: open connections, calls that await a reply, and work that close() waits for. */
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
 * Counts work in progress, so that close() can wait for its end.
 * Thread safety: all methods may be called from any thread.
 */
class WorkCounter
{
public:
    /** Counts as one unit of work until its last copy is destroyed. */
    using Token = std::shared_ptr<void>;

    /** @return A token for one unit of work. The counter must outlive it. */
    Token acquireToken()
    {
        const std::lock_guard lock(this->mutex);
        ++this->count;
        return Token(this, [](void *counter) { static_cast<WorkCounter *>(counter)->releaseToken(); });
    }

    /** Waits until no token is left. @return Whether that happened before the deadline. */
    bool waitUntilIdle(std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(this->mutex);
        return this->idle.wait_until(lock, deadline, [this] { return this->count == 0; });
    }

private:
    void releaseToken()
    {
        const std::lock_guard lock(this->mutex);
        --this->count;
        this->idle.notify_all();
    }

    std::mutex mutex; ///< Guards `count`.
    std::condition_variable idle; ///< Signalled when `count` decreases.
    std::size_t count = 0; ///< Number of tokens that exist.
};

/**
 * The open connections of a listener, and the calls whose reply one of them awaits. A call keeps its connection alive, as a connection
 * from which nothing more is read ahead has no other owner meanwhile.
 * Thread safety: all methods may be called from any thread.
 */
template<typename Session>
class HttpCalls
{
public:
    /** Adds a connection. @return False, without adding it, if the listener is closed. */
    bool addSession(const std::shared_ptr<Session> &session)
    {
        const std::lock_guard lock(this->mutex);
        if (this->isClosed) {
            return false;
        }
        this->sessions.emplace(session.get(), session);
        return true;
    }

    /** Removes a connection, if it is listed. */
    void removeSession(const Session *session)
    {
        const std::lock_guard lock(this->mutex);
        this->sessions.erase(session);
    }

    /** Adds a call whose reply a connection awaits. @return False, without adding it, if the listener is closed. */
    bool addCall(RequestId id, const std::shared_ptr<Session> &session)
    {
        const std::lock_guard lock(this->mutex);
        if (this->isClosed) {
            return false;
        }
        this->sessionsByCall.emplace(id, session);
        return true;
    }

    /** Removes a call. @return The connection that awaits its reply; null if the call isn't listed. */
    std::shared_ptr<Session> removeCall(RequestId id)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->sessionsByCall.find(id);
        if (found == this->sessionsByCall.end()) {
            return nullptr;
        }
        std::shared_ptr<Session> session = std::move(found->second);
        this->sessionsByCall.erase(found);
        return session;
    }

    /** Removes all calls and accepts no more connections and calls. @return The open connections. */
    std::vector<std::shared_ptr<Session>> close()
    {
        // Destroyed without the lock, as the destructor of a connection takes it.
        std::unordered_map<RequestId, std::shared_ptr<Session>> dropped;
        {
            const std::lock_guard lock(this->mutex);
            this->isClosed = true;
            dropped.swap(this->sessionsByCall);
        }
        return this->openSessions();
    }

    /** @return The open connections. */
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
    std::mutex mutex; ///< Guards all members below.
    bool isClosed = false; ///< Whether close() was called.
    std::unordered_map<const Session *, std::weak_ptr<Session>> sessions; ///< Open connections.
    std::unordered_map<RequestId, std::shared_ptr<Session>> sessionsByCall; ///< Connection that awaits the reply to each call.
};

} // namespace Tanagertally
