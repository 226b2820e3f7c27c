#include "shallotrelay/retry/rejectionproof.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{

TEST_CASE("The first response on a connection may be a rejection without a request id")
{
    RejectionProof proof;
    proof.beginExchange();
    CHECK(proof.isProven("", "a"));
    CHECK(proof.isProven("a", "a"));
    CHECK_FALSE(proof.isProven("b", "a"));
}

TEST_CASE("A rejection on a kept connection is proven only by the id of a request that was not rejected there before")
{
    RejectionProof proof;
    proof.beginExchange();
    proof.recordRejection("a");
    proof.beginExchange();
    CHECK_FALSE(proof.isProven("", "b"));
    CHECK(proof.isProven("b", "b"));
    CHECK_FALSE(proof.isProven("a", "a"));
}

TEST_CASE("A connection is not kept after more rejections than are remembered")
{
    RejectionProof proof;
    for (int i = 0; i < 16; ++i) {
        CHECK(proof.mayBeKept());
        proof.recordRejection("id" + std::to_string(i));
    }
    CHECK_FALSE(proof.mayBeKept());
}

}
