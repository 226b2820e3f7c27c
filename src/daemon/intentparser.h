/// Parses operators' states on a thread of its own, so that the event loop of a node never waits for a large state.
///
/// Load pattern: a state of thousands of routes, of which new revisions arrive faster than they can be parsed. The
/// parser works on one revision at a time; of those that arrive meanwhile, only the newest is parsed next.
///
///     IntentParser parser(loop, prepare, deliver);
///     parser.submit(source, packedIntent);
#pragma once

#include "daemon/servicetable.h"
#include "shallotrelay/messages.h"
#include "shallotrelay/workspace/keytable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace shallotrelay
{

namespace asio = boost::asio;

/// A state that is ready to take effect.
struct ParsedIntent {
    IntentUpdate update; ///< The update, without its document.
    std::shared_ptr<const AppliedBundle> bundle; ///< The bundle and its route table.
    KeyTable keys; ///< Finds the workspaces of the bundle by key.
};

/// Decompresses, decodes and parses states off the event loop. Use it from the event loop only.
class IntentParser
{
public:
    /// Parses an update; runs on the parser's thread.
    using Prepare = std::function<absl::StatusOr<ParsedIntent>(IntentUpdate update)>;
    /// Takes the result for a revision from a source; runs on the event loop. An error means that the state is
    /// malformed.
    using Deliver = std::function<void(const std::string &source, absl::StatusOr<ParsedIntent> intent)>;

    IntentParser(asio::io_context &loop, Prepare prepare, Deliver deliver);

    /// Waits for the parse in progress; its result is discarded.
    ~IntentParser();

    IntentParser(const IntentParser &) = delete;
    IntentParser &operator=(const IntentParser &) = delete;

    /// Parses a state, unless one of the same or a newer revision is being parsed or was parsed successfully.
    void submit(const std::string &source, PackedIntent intent);

private:
    struct Job {
        std::string source;
        PackedIntent intent;
    };

    void start(Job job);
    void finish(const std::string &source, std::uint64_t revision, absl::StatusOr<ParsedIntent> result);

    asio::io_context &m_loop;
    Prepare m_prepare;
    Deliver m_deliver;
    std::uint64_t m_parsedRevision = 0; // newest revision that was parsed successfully
    std::optional<std::uint64_t> m_revisionInProgress;
    std::optional<Job> m_next;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // for results that arrive after destruction
    asio::thread_pool m_thread;
};

}
