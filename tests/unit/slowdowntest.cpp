#include "support.h"

#include "shallotrelay/admission/attemptage.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/limits/slowdown.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{

TEST_CASE("The slowdown of a nearly full target is learnt from its answers")
{
    SlowdownModel model;
    CHECK(model.usual("a") == Duration::zero());
    for (int i = 0; i < 200; ++i) {
        model.answered("a", 0.2, 60ms);
    }
    CHECK(model.usual("a") == Duration(60ms));
    for (int i = 0; i < 500; ++i) {
        model.answered("a", 1.0, 150ms);
    }
    CHECK(model.full() > 2.2);
    CHECK(model.full() < 2.6);
    CHECK(model.factor(0.3) == Approx(1.0));
    CHECK(model.factor(0.7) > 1.1);
    CHECK(model.factor(0.7) < model.factor(1.0));
    CHECK(model.usual("a") == Duration(60ms));
}

TEST_CASE("Answers of a route that was never seen at light use teach nothing")
{
    SlowdownModel model;
    const double before = model.full();
    for (int i = 0; i < 100; ++i) {
        model.answered("b", 0.9, 900ms);
    }
    CHECK(model.full() == Approx(before));
}

TEST_CASE("A retry storm: what is missing from the time of a caller is its age")
{
    AttemptAge ages;
    for (int i = 0; i < 60; ++i) {
        CHECK(ages.ageOf(500ms) == Duration::zero());
    }
    CHECK(ages.ageOf(350ms) == Duration(150ms));
    CHECK(ages.ageOf(500ms) == Duration::zero());
}

TEST_CASE("Where callers start with different times nothing is told of their age")
{
    AttemptAge ages;
    Random random(1);
    for (int i = 0; i < 500; ++i) {
        const auto left = std::chrono::milliseconds(100 + randomBelow(random, 900));
        const Duration age = ages.ageOf(left);
        if (i > 100) {
            CHECK(age == Duration::zero());
        }
    }
}

}
