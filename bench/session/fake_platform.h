/** The platform's table and object store, in memory, for sessions. */
#pragma once

#include "controllers/table_type.h"

#include <map>

namespace Tanagertally {

/**
 * Conditional multi-row transactions, reads and objects, as docs/PLATFORM.md describes them.
 * Thread safety: none.
 */
class FakePlatform
{
public:
    /**
     * Carry out a request at once.
     * @param request The request.
     * @return The reply.
     */
    PlatformReply execute(const PlatformRequest &request);

    /** @return All rows by key. */
    const std::map<std::string, TableRow> &rows() const
    {
        return this->table;
    }

    /** @return Transactions that took effect. */
    std::uint64_t writes() const
    {
        return this->writeCount;
    }

    /** @return Reads of rows and objects. */
    std::uint64_t reads() const
    {
        return this->readCount;
    }

private:
    PlatformReply apply(const TableTransaction &transaction);
    PlatformReply apply(const TableRead &read);
    PlatformReply apply(const ObjectPut &put);
    PlatformReply apply(const ObjectGet &get);

    std::map<std::string, TableRow> table; ///< Rows.
    std::map<std::string, std::string> objects; ///< Objects.
    std::uint64_t lastVersion = 0; ///< Last version given.
    std::uint64_t writeCount = 0; ///< Transactions that took effect.
    std::uint64_t readCount = 0; ///< Reads.
};

} // namespace Tanagertally
