#include "base/jsontext.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

namespace shallotrelay
{

TEST_CASE("The nesting of a JSON text counts brackets outside of strings only")
{
    CHECK_FALSE(isNestedDeeper("", 0));
    CHECK_FALSE(isNestedDeeper(R"({"a":[{}],"b":[]})", 3));
    CHECK(isNestedDeeper(R"({"a":[{}],"b":[]})", 2));
    CHECK_FALSE(isNestedDeeper(R"({"a":"[[[["})", 1));
    CHECK_FALSE(isNestedDeeper(R"({"a":"\"[[[[\\"})", 1));
    CHECK(isNestedDeeper(R"({"a":"\\","b":[[]]})", 2));
    CHECK(isNestedDeeper(std::string(100, '['), 16));
    CHECK_FALSE(isNestedDeeper("\"[[[[[[[[[[[[[[[[[[[[", 16));
}

TEST_CASE("The nesting of generated JSON values is found exactly")
{
    CHECK(rc::check("nesting", [] {
        nlohmann::json value = "[";
        const int levels = *rc::gen::inRange(0, 20);
        for (int i = 0; i < levels; ++i) {
            if (*rc::gen::inRange(0, 2) == 0) {
                value = nlohmann::json::array({"]", value, "\\\""});
            } else {
                value = nlohmann::json{{"[{\"", value}, {"b", "}"}};
            }
        }
        const std::string text = value.dump();
        RC_ASSERT(!isNestedDeeper(text, levels));
        RC_ASSERT(levels == 0 || isNestedDeeper(text, levels - 1));
    }));
}

}
