#include "request/stage_plan.hpp"
#include "support/section.hpp"

namespace mangolink::test
{
namespace
{

stage_definition stage(const std::string& service,
                       std::vector<std::uint32_t> inputs)
{
    return {service, std::move(inputs), 1000};
}

std::string handle(stage_item index)
{
    return std::to_string(index.stage) + "/" + std::to_string(index.index);
}

void make_all(stage_plan& plan, const std::vector<stage_item>& pieces)
{
    for (const auto& index : pieces)
    {
        CPPUNIT_ASSERT(plan.made(index, handle(index)));
    }
}

} // namespace

class stage_plan_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_plan_test);
    CPPUNIT_TEST(a_chain_is_made_in_order);
    CPPUNIT_TEST(a_parallel_stage_waits_for_the_chain);
    CPPUNIT_TEST(results_are_released_once);
    CPPUNIT_TEST(parallel_stages_count_once);
    CPPUNIT_TEST(lost_items_are_made_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_chain_is_made_in_order()
    {
        stage_plan plan({stage("a", {}), stage("b", {0}), stage("c", {1})},
                        {2, 3, 1});
        const auto first = plan.take_ready();
        section("only the first stage can begin",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.size()); });
        section("the second needs all of the first",
                [&]
                {
                    plan.made(first[0], "0/0");
                    CPPUNIT_ASSERT(plan.take_ready().empty());
                    plan.made(first[1], "0/1");
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         plan.inputs_of(1).size());
                });
        section("the engine gets the last stage's results only",
                [&]
                {
                    make_all(plan, plan.take_ready());
                    make_all(plan, plan.take_ready());
                    CPPUNIT_ASSERT(plan.complete());
                    const auto results = plan.final_results();
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), results.size());
                    CPPUNIT_ASSERT_EQUAL(std::string("2/0"), results[0].handle);
                });
        section("a request without pieces is complete at once",
                [&]
                {
                    stage_plan none({stage("a", {})}, {0});
                    stage_plan missing({stage("a", {})}, {});
                    CPPUNIT_ASSERT(none.complete() && missing.complete());
                });
    }

    void a_parallel_stage_waits_for_the_chain()
    {
        stage_plan plan({stage("side", {}), stage("a", {}), stage("b", {1})},
                        {2, 1, 1});
        auto ready = plan.take_ready();
        section("the chain goes first",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ready.size());
                    CPPUNIT_ASSERT_EQUAL(1U, ready[0].stage);
                });
        section("the side stage begins with the chain's last",
                [&]
                {
                    make_all(plan, ready);
                    ready = plan.take_ready();
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3), ready.size());
                });
        section("both kinds of results go to the engine",
                [&]
                {
                    make_all(plan, ready);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                                         plan.final_results().size());
                });
    }

    void results_are_released_once()
    {
        stage_plan plan({stage("a", {}), stage("b", {0})}, {2, 2});
        make_all(plan, plan.take_ready());
        CPPUNIT_ASSERT(plan.take_used().empty());
        const auto second = plan.take_ready();
        plan.made(second[0], "1/0");
        section("not while a follower is missing",
                [&] { CPPUNIT_ASSERT(plan.take_used().empty()); });
        plan.made(second[1], "1/1");
        section("when all followers have them",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         plan.take_used().size());
                    CPPUNIT_ASSERT(plan.take_used().empty());
                });
        section("the rest remains to be given up",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         plan.unreleased().size());
                });
    }

    void parallel_stages_count_once()
    {
        // A chain of three beside one that nothing follows.
        const stage_plan plan({stage("side", {}), stage("a", {}),
                               stage("b", {1}), stage("c", {2}),
                               stage("unused", {2})},
                              {4, 1, 8, 16, 0});
        const auto time = [](std::uint32_t index)
        { return milliseconds(index == 0 ? 500 : 100 * index); };
        section("the side stage runs beside the last of the chain",
                [&] {
                    CPPUNIT_ASSERT(plan.expected_time(time) ==
                                   milliseconds(100 + 200 + 500));
                });
        section("no stage, no time",
                []
                {
                    const stage_plan none({stage("a", {})}, {0});
                    CPPUNIT_ASSERT(none.expected_time(
                                       [](std::uint32_t) {
                                           return milliseconds(9);
                                       }) == milliseconds(0));
                });
    }

    void lost_items_are_made_again()
    {
        stage_plan plan({stage("a", {}), stage("b", {0})}, {1, 1});
        const auto first = plan.take_ready();
        plan.requeue(first[0]);
        section("a piece that was given back is returned again",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         plan.take_ready().size());
                });
        section("a result that comes twice is taken once",
                [&]
                {
                    CPPUNIT_ASSERT(plan.made(first[0], "0/0"));
                    CPPUNIT_ASSERT(!plan.made(first[0], "0/0-again"));
                });
        section("a restart returns what lies at servers",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.restart().size());
                    CPPUNIT_ASSERT(!plan.complete());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         plan.take_ready().size());
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_plan_test);

} // namespace mangolink::test
