#include "support.h"

#include "shallotrelay/storage/replicalog.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace shallotrelay
{
namespace
{

/// A temporary folder, removed when the object is destroyed.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        static int n = 0;
        m_path = std::filesystem::temp_directory_path()
                 / ("replicalog-" + std::to_string(::getpid()) + "-" + std::to_string(++n));
    }

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    std::string path() const
    {
        return m_path.string();
    }

    std::string file() const
    {
        return path() + "/replica.log";
    }

private:
    std::filesystem::path m_path;
};

ConsensusEntry entryOf(std::uint64_t index, std::uint64_t term)
{
    return {index, term, EntryKind::Command, "command " + std::to_string(index)};
}

/// Opens the log and reads all of its entries.
std::unique_ptr<ReplicaLog> openLog(const TemporaryFolder &folder, RecoveredReplica *recovery)
{
    auto log = ReplicaLog::open(folder.path(), recovery);
    REQUIRE(log.ok());
    const absl::Status status = (*log)->readEntries([&](ConsensusEntry entry) {
        recovery->disk.entries.push_back(std::move(entry));
        return absl::OkStatus();
    });
    REQUIRE(status.ok());
    return *std::move(log);
}

RecoveredReplica reopen(const TemporaryFolder &folder)
{
    RecoveredReplica out;
    openLog(folder, &out);
    return out;
}

std::unique_ptr<ReplicaLog> initialisedLog(const TemporaryFolder &folder)
{
    RecoveredReplica recovery;
    auto log = ReplicaLog::open(folder.path(), &recovery);
    REQUIRE(log.ok());
    REQUIRE(recovery.id.empty());
    REQUIRE((*log)->initialise("id-1", {}).ok());
    return *std::move(log);
}

}

TEST_CASE("A replica log restores its identity and hard state and entries after reopening")
{
    const TemporaryFolder folder;
    {
        const auto log = initialisedLog(folder);
        REQUIRE(log->store({std::nullopt, HardState{3, "id-2"}, {entryOf(1, 2), entryOf(2, 3)}}).ok());
    }
    const RecoveredReplica recovery = reopen(folder);
    CHECK(recovery.id == "id-1");
    CHECK(recovery.disk.hardState.term == 3);
    CHECK(recovery.disk.hardState.vote == "id-2");
    REQUIRE(recovery.disk.entries.size() == 2);
    CHECK(recovery.disk.entries[1] == entryOf(2, 3));
}

TEST_CASE("A replica log replaces the entries from the index of a new entry on")
{
    const TemporaryFolder folder;
    {
        const auto log = initialisedLog(folder);
        REQUIRE(log->store({std::nullopt, std::nullopt, {entryOf(1, 1), entryOf(2, 1), entryOf(3, 1)}}).ok());
        REQUIRE(log->store({std::nullopt, std::nullopt, {entryOf(2, 2)}}).ok());
    }
    const RecoveredReplica recovery = reopen(folder);
    REQUIRE(recovery.disk.entries.size() == 2);
    CHECK(recovery.disk.entries[1].term == 2);
}

TEST_CASE("A replica log keeps its identity when a snapshot replaces its content")
{
    const TemporaryFolder folder;
    {
        const auto log = initialisedLog(folder);
        REQUIRE(log->store({std::nullopt, std::nullopt, {entryOf(1, 1), entryOf(2, 1)}}).ok());
        ReplicaSnapshot snapshot;
        snapshot.index = 2;
        snapshot.term = 1;
        snapshot.data = "state";
        REQUIRE(log->store({snapshot, HardState{1, ""}, {entryOf(3, 1)}}).ok());
        REQUIRE(log->store({std::nullopt, std::nullopt, {entryOf(4, 1)}}).ok());
    }
    const RecoveredReplica recovery = reopen(folder);
    CHECK(recovery.id == "id-1");
    CHECK(recovery.disk.snapshot.data == "state");
    CHECK(recovery.disk.entries.size() == 2);
}

TEST_CASE("A replica log discards a last batch torn at any byte and accepts further batches")
{
    const TemporaryFolder folder;
    {
        const auto log = initialisedLog(folder);
        REQUIRE(log->store({std::nullopt, HardState{1, ""}, {entryOf(1, 1)}}).ok());
    }
    const auto validSize = std::filesystem::file_size(folder.file());
    {
        RecoveredReplica recovery;
        auto log = ReplicaLog::open(folder.path(), &recovery);
        REQUIRE(log.ok());
        REQUIRE((*log)->store({std::nullopt, HardState{2, "x"}, {entryOf(2, 2)}}).ok());
    }
    const auto fullSize = std::filesystem::file_size(folder.file());
    for (auto size = validSize; size < fullSize; ++size) {
        const TemporaryFolder torn;
        std::filesystem::create_directories(torn.path());
        std::filesystem::copy_file(folder.file(), torn.file());
        std::filesystem::resize_file(torn.file(), size);
        RecoveredReplica recovery;
        const auto log = openLog(torn, &recovery);
        REQUIRE(recovery.disk.entries.size() == 1);
        REQUIRE(log->store({std::nullopt, std::nullopt, {entryOf(2, 3)}}).ok());
        REQUIRE(reopen(torn).disk.entries.at(1).term == 3);
    }
}

// Guards against a commit index that covers an entry of an old leader, which a start would apply as committed.
TEST_CASE("A replica log torn at any byte never restores a commit index above the entries that it covers")
{
    const TemporaryFolder folder;
    std::uintmax_t validSize = 0;
    {
        const auto log = initialisedLog(folder);
        REQUIRE(log->store({std::nullopt, HardState{1, "", 1}, {entryOf(1, 1), entryOf(2, 1)}}).ok());
        validSize = std::filesystem::file_size(folder.file());
        // A new leader replaces the uncommitted entry 2 and reports its own as committed in the same message.
        REQUIRE(log->store({std::nullopt, HardState{2, "", 2}, {entryOf(2, 2)}}).ok());
    }
    const auto fullSize = std::filesystem::file_size(folder.file());
    for (auto size = validSize; size <= fullSize; ++size) {
        const TemporaryFolder torn;
        std::filesystem::create_directories(torn.path());
        std::filesystem::copy_file(folder.file(), torn.file());
        std::filesystem::resize_file(torn.file(), size);
        const RecoveredReplica recovery = reopen(torn);
        CAPTURE(size);
        REQUIRE(recovery.disk.entries.size() == 2);
        CHECK((recovery.disk.hardState.commit < 2 || recovery.disk.entries[1].term == 2));
    }
}

TEST_CASE("A replica log discards a last batch with a corrupted byte")
{
    const TemporaryFolder folder;
    std::uintmax_t validSize = 0;
    {
        const auto log = initialisedLog(folder);
        REQUIRE(log->store({std::nullopt, std::nullopt, {entryOf(1, 1)}}).ok());
        validSize = std::filesystem::file_size(folder.file());
        REQUIRE(log->store({std::nullopt, std::nullopt, {entryOf(2, 1)}}).ok());
    }
    {
        std::fstream file(folder.file(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(static_cast<std::streamoff>(validSize + 20));
        file.put('\x7f');
    }
    CHECK(reopen(folder).disk.entries.size() == 1);
}

}
