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

/// A temporary folder, removed when the object is destroyed.
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

/// Limits the size of files that this process writes during the lifetime of the object, so that writes fail as on a
/// full disk.
class FileSizeLimit
{
public:
    explicit FileSizeLimit(std::uintmax_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN); // NOLINT(bugprone-signal-handler)
        ::getrlimit(RLIMIT_FSIZE, &m_old);
        rlimit limit = m_old;
        limit.rlim_cur = bytes;
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }

    ~FileSizeLimit()
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

void flipByte(const std::string &path, std::size_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char old = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(old ^ 0x10));
}

}

TEST_CASE("A record log returns its records in order after reopening")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one", "", "three"});
    fill(folder.file(), {"four"});
    CHECK(*reopen(folder.file()) == Records{"one", "", "three", "four"});
}

TEST_CASE("A record log discards a truncated last record and keeps the others")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one", "two"});
    const auto fullSize = std::filesystem::file_size(folder.file());
    for (std::uintmax_t truncatedBytes = 1; truncatedBytes <= 3 + 16; ++truncatedBytes) {
        std::filesystem::resize_file(folder.file(), fullSize - truncatedBytes);
        CHECK(*reopen(folder.file()) == Records{"one"});
        fill(folder.file(), {"two"});
    }
}

TEST_CASE("A record log discards trailing zero bytes")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one"});
    std::filesystem::resize_file(folder.file(), std::filesystem::file_size(folder.file()) + 100);
    CHECK(*reopen(folder.file()) == Records{"one"});
    fill(folder.file(), {"two"});
    CHECK(*reopen(folder.file()) == Records{"one", "two"});
}

TEST_CASE("A record log rejects a file with any flipped byte")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"first record", "second record"});
    const auto size = std::filesystem::file_size(folder.file());
    for (std::size_t offset = 0; offset < size; ++offset) {
        flipByte(folder.file(), offset);
        const auto records = reopen(folder.file());
        CAPTURE(offset);
        CHECK_FALSE(records.ok());
        flipByte(folder.file(), offset);
    }
    CHECK(reopen(folder.file())->size() == 2);
}

TEST_CASE("A record log cannot be opened twice at the same time")
{
    const TemporaryFolder folder;
    Records records;
    const auto log = RecordLog::open(folder.file(), &records);
    REQUIRE(log.ok());
    CHECK(reopen(folder.file()).status().code() == absl::StatusCode::kFailedPrecondition);
}

TEST_CASE("A record log rejects further records after a failed write")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one"});
    Records records;
    const auto log = RecordLog::open(folder.file(), &records);
    REQUIRE(log.ok());
    const FileSizeLimit sizeLimit(std::filesystem::file_size(folder.file()) + 20);
    CHECK_FALSE((*log)->append(std::string(1000, 'x')).ok());
    CHECK_FALSE((*log)->append("").ok());
}

TEST_CASE("A record log discards a partially written record when it is reopened")
{
    const TemporaryFolder folder;
    fill(folder.file(), {"one"});
    {
        Records records;
        const auto log = RecordLog::open(folder.file(), &records);
        const FileSizeLimit sizeLimit(std::filesystem::file_size(folder.file()) + 20);
        CHECK_FALSE((*log)->append(std::string(1000, 'x')).ok());
    }
    CHECK(*reopen(folder.file()) == Records{"one"});
}
