#include "support.h"

#include "shallotrelay/consensus/compactionpolicy.h"
#include "shallotrelay/intent/intentreplay.h"
#include "wire/frame.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{
namespace
{

constexpr std::size_t Megabyte = 1024 * 1024;

ConsensusEntry stateEntry(std::uint64_t index, std::uint64_t base, std::uint64_t version, const std::string &document)
{
    IntentOrder order;
    order.kind = IntentKind::State;
    order.digest = "digest of " + document;
    order.basedOn = base;
    order.version = version;
    order.document = document;
    return {index, 3, EntryKind::Command, encodePayload(order)};
}

IntentSnapshot stateOf(const ReplicaSnapshot &snapshot)
{
    const auto out = decodeMessage<IntentSnapshot>(snapshot.data);
    REQUIRE(out.ok());
    return *out;
}

}

TEST_CASE("A replay of committed entries returns the snapshot of a ledger that applied them")
{
    IntentLedger ledger;
    auto replay = IntentReplay::begin({0, 0, {{"id-1", "127.0.0.1:1", ""}}, ""});
    REQUIRE(replay.ok());
    CHECK(replay->finish().data.empty());
    for (const ConsensusEntry &it :
         {stateEntry(1, 0, 2, "a"), stateEntry(2, 2, 5, "b"), stateEntry(3, 2, 6, "superseded")}) {
        REQUIRE(replay->apply(it).ok());
        ledger.apply(*decodeMessage<IntentOrder>(it.data), it.index);
    }
    REQUIRE(replay->apply({4, 3, EntryKind::Noop, ""}).ok());
    const MemberList voters{{{"id-2", "127.0.0.2:1", ""}}};
    REQUIRE(replay->apply({5, 4, EntryKind::Members, encodePayload(voters)}).ok());
    const ReplicaSnapshot snapshot = replay->finish();
    CHECK(snapshot.index == 5);
    CHECK(snapshot.term == 4);
    CHECK(snapshot.members == voters.members);
    CHECK(stateOf(snapshot) == ledger.snapshot());
    CHECK(replay->applied().entries == 5);
}

TEST_CASE("A replay continues from the snapshot of an earlier replay")
{
    auto first = IntentReplay::begin({});
    REQUIRE(first.ok());
    REQUIRE(first->apply(stateEntry(1, 0, 2, "a")).ok());
    auto second = IntentReplay::begin(first->finish());
    REQUIRE(second.ok());
    REQUIRE(second->apply(stateEntry(2, 2, 3, "b")).ok());
    const IntentSnapshot state = stateOf(second->finish());
    CHECK(state.version == 3);
    CHECK(state.accepted.size() == 2);
}

TEST_CASE("A replay rejects a gap between entries and a snapshot that cannot be decoded")
{
    auto replay = IntentReplay::begin({});
    REQUIRE(replay.ok());
    CHECK_FALSE(replay->apply(stateEntry(2, 0, 2, "a")).ok());
    CHECK_FALSE(IntentReplay::begin({1, 1, {}, "not a snapshot"}).ok());
}

TEST_CASE("A log is due for compaction by the number of its entries or by their bytes")
{
    CHECK_FALSE(isCompactionDue({200, 200}));
    CHECK(isCompactionDue({201, 201}));
    // The pattern of many changes of a large state: each entry carries 0.7 MB.
    CHECK_FALSE(isCompactionDue({20, 14 * Megabyte}));
    CHECK(isCompactionDue({24, 17 * Megabyte}));
}

}
