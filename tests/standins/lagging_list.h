/** The platform's instance list, which shows every change only after a lag. */
#pragma once

#include "http_type.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Tanagertally::Standins {

/** An endpoint in the list. */
struct EndpointEntry {
    std::string worker; ///< Its worker.
    std::string rack; ///< Rack of the worker.
    std::string domain; ///< Failure domain of the worker.
    std::string address; ///< Where it serves.
    std::uint32_t slots = 8; ///< Tasks run at once.
    bool leaving = false; ///< Whether it is leaving.
};

/** An entry instance in the list. */
struct InstanceEntry {
    std::string name; ///< Its name.
    std::string domain; ///< Its failure domain.
    std::string peerAddress; ///< Where it accepts peer links.
    bool leaving = false; ///< Whether it is leaving.
};

/** An endpoint that is gone. */
struct EndpointGone {
    std::string worker; ///< Its worker.
};

/** An entry instance that is gone. */
struct InstanceGone {
    std::string name; ///< Its name.
};

using ListChange = std::variant<EndpointEntry, InstanceEntry, EndpointGone, InstanceGone>; ///< One change of the truth.

/** The members at one moment. */
struct MemberList {
    std::map<std::string, EndpointEntry> endpoints; ///< By worker.
    std::map<std::string, InstanceEntry> instances; ///< By name.
};

/** The list. Time is handed in. Thread safety: any thread. */
class LaggingList
{
public:
    using TimePoint = std::chrono::steady_clock::time_point; ///< An instant.

    /** Make an empty list with a lag. */
    explicit LaggingList(Duration lag);

    /** Change the truth; the list shows it after the lag. */
    void change(TimePoint now, ListChange change);

    /** Change the truth and the list at once; earlier changes of this member are not shown any more. */
    void changeAtOnce(ListChange change);

    /** Set the lag; it holds for changes not yet shown as well. */
    void setLag(Duration lag);

    /** @return The lag. */
    Duration lag() const;

    /** @return The members that the list shows at a time. */
    MemberList shown(TimePoint now);

    /** @return The true members. */
    MemberList truth() const;

private:
    /** A change that the list doesn't show yet. */
    struct Pending {
        TimePoint at; ///< When it became true.
        ListChange change; ///< The change.
    };

    mutable std::mutex mutex; ///< Guards the rest.
    Duration delay; ///< The lag.
    std::deque<Pending> pending; ///< Changes not yet shown, in order.
    MemberList now; ///< The truth.
    MemberList visible; ///< What was shown last.
};

} // namespace Tanagertally::Standins
