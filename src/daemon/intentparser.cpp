#include "daemon/intentparser.h"

#include "net/framestream.h"
#include "wire/textcompression.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace shallotrelay
{
namespace
{

absl::StatusOr<IntentUpdate> unpack(const PackedIntent &intent)
{
    const auto text = decompressText(intent.packed, intent.bytes);
    if (!text.ok()) {
        return text.status();
    }
    auto update = decodeMessage<IntentUpdate>(*text);
    if (update.ok() && update->revision != intent.revision) {
        return absl::InvalidArgumentError("the packed state has another revision than its envelope");
    }
    return update;
}

}

IntentParser::IntentParser(asio::io_context &loop, Prepare prepare, Deliver deliver)
    : m_loop(loop)
    , m_prepare(std::move(prepare))
    , m_deliver(std::move(deliver))
    , m_thread(1)
{
}

IntentParser::~IntentParser()
{
    m_thread.stop();
    m_thread.join();
}

void IntentParser::submit(const std::string &source, PackedIntent intent)
{
    const std::uint64_t newest
        = std::max({m_parsedRevision, m_revisionInProgress.value_or(0), m_next ? m_next->intent.revision : 0});
    if (intent.revision <= newest) {
        return;
    }
    if (m_revisionInProgress) {
        m_next = Job{source, std::move(intent)};
    } else {
        start({source, std::move(intent)});
    }
}

void IntentParser::start(Job job)
{
    m_revisionInProgress = job.intent.revision;
    asio::post(m_thread, [this, job = std::move(job), alive = std::weak_ptr<bool>(m_alive)] {
        auto update = unpack(job.intent);
        auto result = update.ok() ? m_prepare(*std::move(update)) : absl::StatusOr<ParsedIntent>(update.status());
        asio::post(m_loop, [this, alive, source = job.source, revision = job.intent.revision,
                            result = std::move(result)]() mutable {
            if (!alive.expired()) {
                finish(source, revision, std::move(result));
            }
        });
    });
}

void IntentParser::finish(const std::string &source, std::uint64_t revision, absl::StatusOr<ParsedIntent> result)
{
    m_revisionInProgress.reset();
    if (result.ok()) {
        m_parsedRevision = revision;
    }
    if (m_next) {
        start(*std::exchange(m_next, std::nullopt));
    }
    m_deliver(source, std::move(result));
}

}
