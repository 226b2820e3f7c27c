#include "support.h"

#include "shallotrelay/admission/requestageestimator.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/limits/slowdown.h"

#include <catch2/catch.hpp>

namespace shallotrelay
{

TEST_CASE("Slowdown model: the slowdown of a nearly full target is learnt from its response times")
{
    SlowdownModel model;
    CHECK(model.baseline("a") == Duration::zero());
    for (int i = 0; i < 200; ++i) {
        model.recordResponse("a", 0.2, 60ms);
    }
    CHECK(model.baseline("a") == Duration(60ms));
    for (int i = 0; i < 500; ++i) {
        model.recordResponse("a", 1.0, 150ms);
    }
    CHECK(model.factorAtFull() > 2.2);
    CHECK(model.factorAtFull() < 2.6);
    CHECK(model.factorAt(0.3) == Approx(1.0));
    CHECK(model.factorAt(0.7) > 1.1);
    CHECK(model.factorAt(0.7) < model.factorAt(1.0));
    CHECK(model.baseline("a") == Duration(60ms));
}

TEST_CASE("Slowdown model: responses of a route without a baseline at light load are ignored")
{
    SlowdownModel model;
    const double before = model.factorAtFull();
    for (int i = 0; i < 100; ++i) {
        model.recordResponse("b", 0.9, 900ms);
    }
    CHECK(model.factorAtFull() == Approx(before));
}

TEST_CASE("A retry storm: the age of a request is the full timeout minus the time left")
{
    RequestAgeEstimator estimator;
    for (int i = 0; i < 60; ++i) {
        CHECK(estimator.estimateAge(500ms) == Duration::zero());
    }
    CHECK(estimator.estimateAge(350ms) == Duration(150ms));
    CHECK(estimator.estimateAge(500ms) == Duration::zero());
}

TEST_CASE("Request age: the age is unknown if callers use different timeouts")
{
    RequestAgeEstimator estimator;
    Random random(1);
    for (int i = 0; i < 500; ++i) {
        const auto timeLeft = std::chrono::milliseconds(100 + randomBelow(random, 900));
        const Duration age = estimator.estimateAge(timeLeft);
        if (i > 100) {
            CHECK(age == Duration::zero());
        }
    }
}

}
