#include "daemon/claimstore.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace shallotrelay;

namespace
{

ClaimRequest makeRequest(std::uint64_t id, const std::string &key, const std::string &owner)
{
    return {id, key, owner, "redactie-1", 1};
}

}

TEST_CASE("A ClaimStore claim is granted only to the first requester within a batch and after reopening the store")
{
    const auto folder = std::filesystem::temp_directory_path() / "shallotrelay-claims-test";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    {
        const auto store = *ClaimStore::open(folder.string());
        const auto responses
            = store->claimAll({makeRequest(1, "k", "a"), makeRequest(2, "k", "b"), makeRequest(3, "l", "b")});
        REQUIRE(responses.size() == 3);
        CHECK(responses[0].granted);
        CHECK_FALSE(responses[1].granted);
        CHECK(responses[1].ownerAddress == "a");
        CHECK(responses[1].id == 2);
        CHECK(responses[2].granted);
    }
    const auto store = *ClaimStore::open(folder.string());
    CHECK(store->size() == 2);
    const ClaimAnswer repeated = store->claim(makeRequest(4, "k", "c"));
    CHECK_FALSE(repeated.granted);
    CHECK(repeated.ownerAddress == "a");
    std::filesystem::remove_all(folder);
}
