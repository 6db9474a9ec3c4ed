#include "support/foundry_configuration.hpp"
#include "support/section.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"

#include <functional>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

std::string full_configuration(std::uint64_t number, std::uint32_t share)
{
    const json value{{"customers", {{"caster", {{"share", share}}}}}};
    return json{{"number", number}, {"value", value}}.dump();
}

std::string patch(std::uint64_t base, const json& share)
{
    return json{{"base", base},
                {"number", base + 1},
                {"author", "operator"},
                {"changes",
                 {{{"op", "replace"},
                   {"path", "/customers/caster/share"},
                   {"value", share}}}}}
        .dump();
}

} // namespace

class configuration_store_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_store_test);
    CPPUNIT_TEST(numbers_only_grow);
    CPPUNIT_TEST(peers_are_brought_up_to_date);
    CPPUNIT_TEST(invalid_values_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void numbers_only_grow()
    {
        audit_trail trail;
        configuration_store store(trail);
        CPPUNIT_ASSERT(store.accept_snapshot(full_configuration(5, 1)).changed);
        section(
            "an older configuration is ignored",
            [&]
            {
                CPPUNIT_ASSERT(
                    !store.accept_snapshot(full_configuration(4, 9)).changed);
                CPPUNIT_ASSERT(
                    !store.accept_snapshot(full_configuration(5, 9)).changed);
            });
        section("a patch of an outdated number is refused with its code",
                [&]
                {
                    CPPUNIT_ASSERT(store.accept_patch(patch(4, 2)).code ==
                                   result_code::outdated_base);
                    CPPUNIT_ASSERT(store.accept_patch(patch(5, 2)).changed);
                });
        section("a copy of a patch changes nothing; another patch with its "
                "number is refused",
                [&]
                {
                    const auto copy = store.accept_patch(patch(5, 2));
                    CPPUNIT_ASSERT(copy.code == result_code::complete);
                    CPPUNIT_ASSERT(!copy.changed);
                    CPPUNIT_ASSERT(store.accept_patch(patch(5, 3)).code ==
                                   result_code::outdated_base);
                    CPPUNIT_ASSERT_EQUAL(
                        2U, store.current()->find_customer("caster")->share);
                });
        section("a conflicting digest for the same number is recorded once",
                [&]
                {
                    const configuration_position other{6, 1};
                    CPPUNIT_ASSERT(!store.is_behind(other));
                    const auto records = trail.records().size();
                    store.is_behind(other);
                    CPPUNIT_ASSERT_EQUAL(std::string("digest_conflict"),
                                         trail.records().back().event.action);
                    CPPUNIT_ASSERT_EQUAL(records, trail.records().size());
                });
    }

    void peers_are_brought_up_to_date()
    {
        audit_trail trail;
        configuration_store ahead(trail);
        configuration_store lagging(trail);
        ahead.accept_snapshot(full_configuration(1, 1));
        lagging.accept_snapshot(full_configuration(1, 1));
        ahead.accept_patch(patch(1, 2));
        ahead.accept_patch(patch(2, 3));
        section("by patches while they are retained",
                [&]
                {
                    CPPUNIT_ASSERT(lagging.is_behind(ahead.position()));
                    for (const auto& document : ahead.updates_after(1).patches)
                    {
                        lagging.accept_patch(document);
                    }
                    CPPUNIT_ASSERT(lagging.position() == ahead.position());
                });
        section("otherwise by the whole configuration",
                [&]
                {
                    configuration_store fresh(trail);
                    const auto update = ahead.updates_after(0);
                    CPPUNIT_ASSERT(update.patches.empty());
                    fresh.accept_snapshot(update.snapshot);
                    CPPUNIT_ASSERT(fresh.position() == ahead.position());
                });
    }

    void invalid_values_are_refused()
    {
        audit_trail trail;
        configuration_store store(trail);
        store.accept_snapshot(full_configuration(1, 1));
        const std::string bad_type = patch(1, "many");
        const std::string bad_change =
            R"({"base":1,"number":2,"changes":[{"op":"remove","path":"/no"}]})";
        const std::string bad_number = R"({"base":1,"number":7,"changes":[]})";
        for (const auto& document :
             {bad_type, bad_change, bad_number, std::string("{")})
        {
            const auto result = store.accept_patch(document);
            CPPUNIT_ASSERT(result.code == result_code::bad_patch);
            CPPUNIT_ASSERT(!result.reason.empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.position().number);
        section("a stage whose model is not configured is refused",
                [&]
                {
                    const json value{{"pools", {{"engines", json::object()}}},
                                     {"models", {{"a", {{"version", "1"}}}}},
                                     {"pipelines",
                                      {{"talk",
                                        {{"stages",
                                          {{{"name", "generate"},
                                            {"kind", "generate"},
                                            {"pool", "engines"},
                                            {"model", "b"}}}}}}}}};
                    const auto result = store.accept_snapshot(
                        json{{"number", 9}, {"value", value}}.dump());
                    CPPUNIT_ASSERT(result.reason.find("no model b") !=
                                   std::string::npos);
                });
        section("the error names the path of the invalid value",
                [&]
                {
                    CPPUNIT_ASSERT(store.check_patch(bad_type).reason.find(
                                       "/customers/caster/share") !=
                                   std::string::npos);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_store_test);

} // namespace mangolink::test
