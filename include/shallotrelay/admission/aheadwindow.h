/// Which requests of one connection may run before those sent ahead of them are answered.
///
/// The load pattern: callers send several requests on one connection without waiting for answers. Served one after the
/// other, a single request at a slow target or in a long queue delays all behind it, while other targets idle. Served
/// at the same time, each costs memory until its turn to be answered comes, so their number is bounded for a connection
/// and for the node.
#pragma once

#include <cstddef>

namespace shallotrelay
{

/// Bounds of requests that are read before those ahead of them are answered.
struct AheadBounds {
    std::size_t perConnection = 16; ///< Unanswered requests of one connection; browsers and libraries send fewer.
    /// Unanswered requests behind others, of all connections; each may hold one answer, 128 KiB at most, twice.
    std::size_t perNode = 256;
};

/// What is in progress when a connection could be read.
struct AheadLoad {
    std::size_t unanswered = 0; ///< Requests of the connection that were read and are not answered in full.
    std::size_t aheadOnNode = 0; ///< Unanswered requests behind others, of all connections of the node.
    bool closes = false; ///< Whether the connection ends after the requests that were read.
};

/// Returns whether another request may be read from the connection.
bool mayReadAhead(const AheadBounds &bounds, const AheadLoad &load);

/// Returns whether a request that was read may start. One that must not run twice starts only once all requests before
/// it are answered: if one of those answers closes the connection, the caller takes what is behind it for unread and
/// sends it again.
bool mayStartAhead(const AheadLoad &load, bool repeatable);

}
