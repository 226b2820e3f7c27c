#include "support.h"

#include "shallotrelay/membership/directory.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace shallotrelay;

namespace
{

TargetRecord record(const std::string &name, std::uint64_t incarnation, std::uint64_t sequence)
{
    TargetRecord out;
    out.firm = "tipar";
    out.service = "redactie";
    out.name = name;
    out.incarnation = incarnation;
    out.sequence = sequence;
    return out;
}

NodeReport reportOf(const std::string &node, std::uint64_t incarnation, std::vector<TargetRecord> targets)
{
    NodeReport out;
    out.node = node;
    out.incarnation = incarnation;
    out.targets = std::move(targets);
    return out;
}

}

TEST_CASE("A directory lists the targets of a node until the lease of the node expires")
{
    Directory directory(3s);
    CHECK(directory.report(reportOf("n1", 1, {record("a", 1, 1)}), at(0s)));
    CHECK_FALSE(directory.report(reportOf("n1", 1, {record("a", 1, 1)}), at(1s)));
    CHECK(directory.size() == 1);
    CHECK_FALSE(directory.expire(at(3s)));
    CHECK(directory.expire(at(4s)));
    CHECK(directory.size() == 0);
}

TEST_CASE("A directory ignores a report of an earlier incarnation of a node")
{
    Directory directory(3s);
    directory.report(reportOf("n1", 2, {record("a", 2, 1)}), at(0s));
    CHECK_FALSE(directory.report(reportOf("n1", 1, {}), at(0s)));
    CHECK(directory.size() == 1);
}

TEST_CASE("A target that moved to another node stays listed when the lease of the old node expires")
{
    Directory directory(3s);
    directory.report(reportOf("n1", 1, {record("a", 1, 1)}), at(0s));
    directory.report(reportOf("n2", 5, {record("a", 5, 1)}), at(2s));
    directory.expire(at(4s));
    CHECK(directory.size() == 1);
}

TEST_CASE("A directory view equals the directory after updates from any sequence and after any gap")
{
    const bool held = rc::check("the view equals the directory", [] {
        Directory directory(3s);
        DirectoryView view;
        TimePoint now = at(0s);
        const auto steps = *rc::gen::inRange(1, 60);
        std::uint64_t sequence = 0;
        for (int i = 0; i < steps; ++i) {
            const auto node = "n" + std::to_string(*rc::gen::inRange(0, 4));
            const auto name = "t" + std::to_string(*rc::gen::inRange(0, 3));
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
            directory.report(reportOf(node, 1, {record(node + name, 1, ++sequence)}), now);
            directory.expire(now);
            if (*rc::gen::inRange(0, 3) == 0) {
                view.apply("c1", directory.updateSince(view.sequenceOf("c1")));
            }
        }
        view.apply("c1", directory.updateSince(view.sequenceOf("c1")));
        RC_ASSERT(view.targets() == Directory(directory).updateSince(0).records);
    });
    CHECK(held);
}

TEST_CASE("A directory view returns the newest record of a target among several control VMs")
{
    DirectoryView view;
    view.apply("c1", {true, 1, {record("a", 1, 1)}, {}});
    view.apply("c2", {true, 1, {record("a", 1, 2), record("b", 1, 1)}, {}});
    const auto targets = view.targets();
    REQUIRE(targets.size() == 2);
    CHECK(targets[0].sequence == 2);
    view.apply("c2", {false, 2, {}, {targetKey(record("b", 1, 1))}});
    CHECK(view.targets().size() == 1);
}

TEST_CASE("A directory view changes only with the first of several control VMs that send the same records")
{
    DirectoryView view;
    CHECK(view.apply("c1", {true, 1, {record("a", 1, 1), record("b", 1, 1)}, {}}));
    for (const char *it : {"c2", "c3", "c4"}) {
        CHECK_FALSE(view.apply(it, {true, 1, {record("a", 1, 1), record("b", 1, 1)}, {}}));
    }
    CHECK_FALSE(view.apply("c2", {false, 2, {}, {}}));
    CHECK(view.apply("c3", {false, 2, {record("a", 1, 2)}, {}}));
    CHECK_FALSE(view.apply("c1", {false, 2, {record("a", 1, 2)}, {}}));
    // A target stays listed as long as any control VM lists it, and is gone when the last one drops it.
    CHECK_FALSE(view.apply("c1", {false, 3, {}, {targetKey(record("b", 1, 1))}}));
    CHECK_FALSE(view.drop("c2"));
    CHECK_FALSE(view.drop("c3"));
    CHECK(view.drop("c4"));
    REQUIRE(view.targets().size() == 1);
    CHECK(view.targets()[0].sequence == 2);
    // Older records of a control VM that lost its state do not replace newer ones of another control VM.
    CHECK_FALSE(view.apply("c5", {true, 1, {record("a", 1, 1)}, {}}));
    CHECK(view.targets()[0].sequence == 2);
    CHECK(view.drop("c1"));
    CHECK(view.targets()[0].sequence == 1);
}
