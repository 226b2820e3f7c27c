#include "shallotrelay/storage/recordlog.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace shallotrelay;

namespace
{

/// A folder that is removed with the object.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "shallotrelay-test-XXXXXX").string();
        m_path = ::mkdtemp(name.data());
    }

    ~TemporaryFolder()
    {
        std::filesystem::remove_all(m_path);
    }

    std::string file() const
    {
        return m_path + "/test.log";
    }

private:
    std::string m_path;
};

/// Makes files of this process full at a size, for as long as the object lives.
class FileSizeBound
{
public:
    explicit FileSizeBound(std::uintmax_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN); // NOLINT(bugprone-signal-handler)
        ::getrlimit(RLIMIT_FSIZE, &m_old);
        rlimit limit = m_old;
        limit.rlim_cur = bytes;
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }

    ~FileSizeBound()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_old);
    }

private:
    rlimit m_old{};
};

using Records = std::vector<std::string>;

absl::StatusOr<Records> reopen(const std::string &path)
{
    Records records;
    const auto log = RecordLog::open(path, &records);
    if (!log.ok()) {
        return log.status();
    }
    return records;
}

void fill(const std::string &path, const Records &add)
{
    Records records;
    const auto log = RecordLog::open(path, &records);
    REQUIRE(log.ok());
    for (const std::string &it : add) {
        REQUIRE((*log)->append(it).ok());
    }
}

void flipByte(const std::string &path, std::size_t where)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(where));
    const char old = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(where));
    file.put(static_cast<char>(old ^ 0x10));
}

}

TEST_CASE("Records are read back in order")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one", "", "three"});
    fill(folder.file(), {"four"});
    CHECK(*reopen(folder.file()) == Records{"one", "", "three", "four"});
}

TEST_CASE("A record that was cut off at the end is dropped and the rest stays")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one", "two"});
    const auto whole = std::filesystem::file_size(folder.file());
    for (std::uintmax_t cut = 1; cut <= 3 + 16; ++cut) {
        std::filesystem::resize_file(folder.file(), whole - cut);
        CHECK(*reopen(folder.file()) == Records{"one"});
        fill(folder.file(), {"two"});
    }
}

TEST_CASE("A tail that was never written is dropped")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one"});
    std::filesystem::resize_file(folder.file(), std::filesystem::file_size(folder.file()) + 100);
    CHECK(*reopen(folder.file()) == Records{"one"});
    fill(folder.file(), {"two"});
    CHECK(*reopen(folder.file()) == Records{"one", "two"});
}

TEST_CASE("A flipped byte anywhere is refused and never ignored")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"first record", "second record"});
    const auto size = std::filesystem::file_size(folder.file());
    for (std::size_t where = 0; where < size; ++where) {
        flipByte(folder.file(), where);
        const auto records = reopen(folder.file());
        CAPTURE(where);
        CHECK_FALSE(records.ok());
        flipByte(folder.file(), where);
    }
    CHECK(reopen(folder.file())->size() == 2);
}

TEST_CASE("A log is open once at a time")
{
    const TemporaryFolder folder;
    Records records;
    const auto log = RecordLog::open(folder.file(), &records);
    REQUIRE(log.ok());
    CHECK(reopen(folder.file()).status().code() == absl::StatusCode::kFailedPrecondition);
}

TEST_CASE("A log refuses to go on after a failed write")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one"});
    Records records;
    const auto log = RecordLog::open(folder.file(), &records);
    REQUIRE(log.ok());
    const FileSizeBound bound(std::filesystem::file_size(folder.file()) + 20);
    CHECK_FALSE((*log)->append(std::string(1000, 'x')).ok());
    CHECK_FALSE((*log)->append("").ok());
}

TEST_CASE("What a failed write left behind is dropped at the next start")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one"});
    {
        Records records;
        const auto log = RecordLog::open(folder.file(), &records);
        const FileSizeBound bound(std::filesystem::file_size(folder.file()) + 20);
        CHECK_FALSE((*log)->append(std::string(1000, 'x')).ok());
    }
    CHECK(*reopen(folder.file()) == Records{"one"});
}
