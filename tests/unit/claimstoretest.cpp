#include "daemon/claimstore.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace shallotrelay;

namespace
{

ClaimRequest requestOf(std::uint64_t id, const std::string &key, const std::string &owner)
{
    return {id, key, owner, "redactie-1", 1};
}

}

TEST_CASE("A claim is granted once, also among claims that are decided together, and survives a restart")
{
    const auto folder = std::filesystem::temp_directory_path() / "shallotrelay-claims-test";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    {
        const auto store = *ClaimStore::open(folder.string());
        const auto answers = store->claimAll({requestOf(1, "k", "a"), requestOf(2, "k", "b"), requestOf(3, "l", "b")});
        REQUIRE(answers.size() == 3);
        CHECK(answers[0].granted);
        CHECK_FALSE(answers[1].granted);
        CHECK(answers[1].ownerAddress == "a");
        CHECK(answers[1].id == 2);
        CHECK(answers[2].granted);
    }
    const auto store = *ClaimStore::open(folder.string());
    CHECK(store->size() == 2);
    const ClaimAnswer again = store->claim(requestOf(4, "k", "c"));
    CHECK_FALSE(again.granted);
    CHECK(again.ownerAddress == "a");
    std::filesystem::remove_all(folder);
}
