#include "standins/engine_commands.hpp"
#include "standins/engine_model.hpp"
#include "standins/engine_reports.hpp"
#include "support/section.hpp"

namespace mangolink::test
{

using namespace mangolink::bench;

/// Other tests and measurements depend on the stand-in engine, so it is tested
/// as well.
class engine_standin_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_standin_test);
    CPPUNIT_TEST(batch_and_priorities);
    CPPUNIT_TEST(prompt_cache);
    CPPUNIT_TEST(commands_and_reports);
    CPPUNIT_TEST_SUITE_END();

public:
    void batch_and_priorities()
    {
        engine_model engine({.max_batch = 2});
        engine.add({1, {}, 1, 2, 5});
        engine.add({2, {}, 1, 2, 5});
        engine.add({3, {}, 1, 1, 0});
        const engine_step first = engine.step();
        section("the most urgent request is in the first batch of two",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.tokens.size());
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), first.tokens[0].id);
                    CPPUNIT_ASSERT(first.tokens[0].last);
                });
        section("a step takes longer with more sequences",
                [&]
                {
                    engine_model alone({});
                    alone.add({1, {}, 1, 2, 5});
                    CPPUNIT_ASSERT(alone.step().length < first.length);
                });
        section("a resumed sequence continues at its token",
                []
                {
                    engine_model resumed({});
                    resumed.add({1, {}, 1, 5, 5, 3});
                    CPPUNIT_ASSERT_EQUAL(3U, resumed.step().tokens[0].index);
                    CPPUNIT_ASSERT(resumed.step().tokens[0].last);
                    CPPUNIT_ASSERT(resumed.idle());
                });
    }

    void prompt_cache()
    {
        const std::string prompt(640, 'p');
        const auto cached_of = [&](engine_model& engine, std::uint64_t id)
        {
            engine.add({id, text_blocks(prompt), text_tokens(prompt), 1, 5});
            return engine.step().tokens[0].cached_tokens;
        };
        engine_model engine({});
        section("a repeated prompt is served from the cache",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(0U, cached_of(engine, 1));
                    CPPUNIT_ASSERT_EQUAL(160U, cached_of(engine, 2));
                });
        section("another engine has the prefix after an import",
                [&]
                {
                    engine_model other({});
                    other.import_blocks(
                        engine.export_prefix(text_blocks(prompt)));
                    CPPUNIT_ASSERT_EQUAL(160U, cached_of(other, 1));
                });
        section("a cache that is too small evicts the prompt",
                [&]
                {
                    engine_model small({.cache_tokens = 64});
                    cached_of(small, 1);
                    CPPUNIT_ASSERT_EQUAL(0U, cached_of(small, 2));
                    CPPUNIT_ASSERT(
                        small.export_prefix(text_blocks(prompt)).empty());
                });
    }

    void commands_and_reports()
    {
        section("an old fencing number is refused by engines that check it",
                []
                {
                    engine_commands strict(true);
                    engine_commands lax(false);
                    CPPUNIT_ASSERT(strict.execute({7, "load_model", "a"}));
                    CPPUNIT_ASSERT(!strict.execute({6, "load_model", "b"}));
                    CPPUNIT_ASSERT(lax.execute({7, "load_model", "a"}));
                    CPPUNIT_ASSERT(lax.execute({6, "load_model", "b"}));
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         strict.executed().size());
                });
        section("load reports are delayed; events are delayed and have gaps",
                []
                {
                    engine_reports reports(milliseconds(500), 0.5, 1);
                    const boot_clock::time_point start{std::chrono::hours(1)};
                    reports.add_load({3, 1}, start);
                    reports.add_load({9, 9}, start + milliseconds(400));
                    for (std::uint64_t i = 0; i < 100; ++i)
                    {
                        reports.add_event(i, true, start);
                    }
                    const auto soon = start + milliseconds(499);
                    const auto later = start + milliseconds(600);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                         reports.load(soon).running);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                                         reports.load(later).running);
                    CPPUNIT_ASSERT(reports.events_after(0, soon).empty());
                    const auto events = reports.events_after(0, later);
                    CPPUNIT_ASSERT(events.size() > 20 && events.size() < 80);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_standin_test);

} // namespace mangolink::test
