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

std::string handle(stage_item item)
{
    return std::to_string(item.stage) + "/" + std::to_string(item.index);
}

void make_all(stage_plan& plan, const std::vector<stage_item>& items)
{
    for (const auto& item : items)
    {
        CPPUNIT_ASSERT(plan.made(item, handle(item)));
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
        section("only the first stage is ready",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.size()); });
        section("the second stage needs all results of the first",
                [&]
                {
                    plan.made(first[0], "0/0");
                    CPPUNIT_ASSERT(plan.take_ready().empty());
                    plan.made(first[1], "0/1");
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         plan.inputs_of(1).size());
                });
        section("only results of the last stage are final",
                [&]
                {
                    make_all(plan, plan.take_ready());
                    make_all(plan, plan.take_ready());
                    CPPUNIT_ASSERT(plan.complete());
                    const auto results = plan.final_results();
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), results.size());
                    CPPUNIT_ASSERT_EQUAL(std::string("2/0"), results[0].handle);
                });
        section("a plan without items is complete",
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
        section("the chain starts first",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ready.size());
                    CPPUNIT_ASSERT_EQUAL(1U, ready[0].stage);
                });
        section("the parallel stage starts with the last stage of the chain",
                [&]
                {
                    make_all(plan, ready);
                    ready = plan.take_ready();
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3), ready.size());
                });
        section("results of both stages are final",
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
        section("not while a dependent item has no result",
                [&] { CPPUNIT_ASSERT(plan.take_used().empty()); });
        plan.made(second[1], "1/1");
        section("once all dependent items have results",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         plan.take_used().size());
                    CPPUNIT_ASSERT(plan.take_used().empty());
                });
        section("the other results are still unreleased",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         plan.unreleased().size());
                });
    }

    void parallel_stages_count_once()
    {
        // A chain of three stages parallel to a stage without dependents.
        const stage_plan plan({stage("side", {}), stage("a", {}),
                               stage("b", {1}), stage("c", {2}),
                               stage("unused", {2})},
                              {4, 1, 8, 16, 0});
        const auto time = [](std::uint32_t stage_index)
        { return milliseconds(stage_index == 0 ? 500 : 100 * stage_index); };
        section("the parallel stage overlaps the last stage of the chain",
                [&] {
                    CPPUNIT_ASSERT(plan.expected_time(time) ==
                                   milliseconds(100 + 200 + 500));
                });
        section("a plan without items takes no time",
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
        section("a requeued item is returned again",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         plan.take_ready().size());
                });
        section("a second result of an item is not accepted",
                [&]
                {
                    CPPUNIT_ASSERT(plan.made(first[0], "0/0"));
                    CPPUNIT_ASSERT(!plan.made(first[0], "0/0-again"));
                });
        section("a restart returns the stored results",
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
