#include "base/settings_error.hpp"
#include "base/settings_reader.hpp"
#include "roles/gateway_settings.hpp"
#include "support/section.hpp"

#include <map>

namespace mangolink::test
{
namespace
{

using placeholder_values = std::map<std::string, std::string>;

/// Returns the settings that the deployment's template gives with the values,
/// filled in as text.
std::string fill_template(placeholder_values values)
{
    values.insert({{"nodeName", "gateway-1"},
                   {"zone", "z1"},
                   {"region", "r1"},
                   {"ip", "127.0.0.1"},
                   {"internalPortRange.0", "7740"},
                   {"internalPortRange.1", "7755"},
                   {"listen.frontend", "127.0.0.1:8625"},
                   {"listen.readiness", "127.0.0.1:8621"},
                   {"platform.address", "127.0.0.1:8624"},
                   {"#seedNodes", ""},
                   {".", ""},
                   {",", ""},
                   {"/seedNodes", ""},
                   {"#zones", ""},
                   {"@", "z1"},
                   {"/zones", ""},
                   {"limits.maxFds", "4100"},
                   {"limits.memoryMb", "260"},
                   {"limits.cpuQuota", "0.19"},
                   {"bounds.graceS", "8"},
                   {"bounds.revokeMs", "5000"},
                   {"bounds.retryBudgetRatio", "0.2"},
                   {"bounds.retryWindowS", "10"},
                   {"bounds.budgetSlack", "58"}});
    std::string text =
        read_settings_file(SOURCE_DIRECTORY "/platform/gateway.toml.in");
    for (auto begin = text.find("{{"); begin != std::string::npos;
         begin = text.find("{{", begin))
    {
        const auto end = text.find("}}", begin);
        const auto name = text.substr(begin + 2, end - begin - 2);
        CPPUNIT_ASSERT_MESSAGE(name, values.contains(name));
        text.replace(begin, end + 2 - begin, values[name]);
    }
    return text;
}

/// Returns the settings in a text; throws settings_error.
gateway_settings parse(const std::string& text)
{
    settings_reader reader(text, "gateway.toml");
    auto settings = gateway_settings::read(reader);
    reader.throw_if_invalid();
    return settings;
}

std::string problems_of(const std::string& text)
{
    try
    {
        parse(text);
    }
    catch (const settings_error& error)
    {
        return error.what();
    }
    return {};
}

} // namespace

/// Settings of a gateway as the platform fills them in.
class gateway_settings_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_settings_test);
    CPPUNIT_TEST(a_bound_may_be_any_number);
    CPPUNIT_TEST(rounding_keeps_to_the_limits);
    CPPUNIT_TEST(times_in_milliseconds_are_still_read);
    CPPUNIT_TEST(a_wrong_time_is_named);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a gateway that ends at its start, since a figure of the
    /// platform is a fraction or is written with a point (review/13).
    void a_bound_may_be_any_number()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), problems_of(fill_template({})));
        for (const std::string name :
             {"bounds.graceS", "bounds.revokeMs", "bounds.retryBudgetRatio",
              "bounds.retryWindowS", "bounds.budgetSlack", "limits.memoryMb"})
        {
            for (const std::string value : {"7.0", "7.5", "7", "7e0"})
            {
                // Some figures are at least a hundred.
                const bool large = name.ends_with("Ms") || name.ends_with("Mb");
                const auto figure = (large ? "300" : "") + value;
                section(name + " = " + figure,
                        [&]
                        {
                            const auto text = fill_template({{name, figure}});
                            CPPUNIT_ASSERT_EQUAL(std::string(),
                                                 problems_of(text));
                        });
            }
        }
        section("a number that must be whole may have a point",
                [] {
                    parse(fill_template({{"limits.maxFds", "4100.0"}}));
                });
    }

    void rounding_keeps_to_the_limits()
    {
        const auto settings =
            parse(fill_template({{"bounds.graceS", "7.5009"},
                                 {"bounds.revokeMs", "4999.9"},
                                 {"bounds.retryWindowS", "9.9001"},
                                 {"limits.memoryMb", "260.5"}}));
        section("a stop and a withdrawn key take no longer",
                [&]
                {
                    CPPUNIT_ASSERT(milliseconds(7500) == settings.stop_limit);
                    CPPUNIT_ASSERT(milliseconds(4999) ==
                                   settings.revocation_limit);
                });
        section("a window is no shorter",
                [&] {
                    CPPUNIT_ASSERT(milliseconds(9901) == settings.retry_window);
                });
        section("memory is a fraction, too",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t(521) * 512 * 1024,
                                         settings.memory_bytes);
                });
        section("a decimal fraction that is no binary one is not rounded",
                []
                {
                    const auto exact =
                        parse(fill_template({{"bounds.graceS", "8.2"},
                                             {"bounds.retryWindowS", "1.1"}}));
                    CPPUNIT_ASSERT(milliseconds(8200) == exact.stop_limit);
                    CPPUNIT_ASSERT(milliseconds(1100) == exact.retry_window);
                });
    }

    void times_in_milliseconds_are_still_read()
    {
        const auto text = with_stop_limit("stop_limit_ms = 7500");
        CPPUNIT_ASSERT(milliseconds(7500) == parse(text).stop_limit);
        section("an override replaces the file's time in either unit",
                [&]
                {
                    settings_reader reader(text, "gateway.toml");
                    reader.apply_override("gateway.stop_limit_s=3");
                    reader.apply_override("retries.window_ms=900");
                    const auto settings = gateway_settings::read(reader);
                    reader.throw_if_invalid();
                    CPPUNIT_ASSERT(milliseconds(3000) == settings.stop_limit);
                    CPPUNIT_ASSERT(milliseconds(900) == settings.retry_window);
                });
    }

    void a_wrong_time_is_named()
    {
        constexpr const char* range =
            "gateway.toml:16: gateway.stop_limit_s: must be a number of "
            "seconds from 0.1 to 3600";
        for (const std::string value :
             {"0", "-7.5", "3600.1", "nan", "inf", "true", "\"8\""})
        {
            section(value,
                    [&]
                    {
                        CPPUNIT_ASSERT_EQUAL(std::string(range),
                                             problems_of(with_stop_limit(
                                                 "stop_limit_s = " + value)));
                    });
        }
        section("in milliseconds",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        std::string(
                            "gateway.toml:16: gateway.stop_limit_ms: must be a "
                            "number of milliseconds from 100 to 3600000"),
                        problems_of(with_stop_limit("stop_limit_ms = 99.9")));
                });
        section("given in both units",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("gateway.toml:17: gateway.stop_limit_s: "
                                    "also given as gateway.stop_limit_ms"),
                        problems_of(with_stop_limit(
                            "stop_limit_ms = 8000\nstop_limit_s = 8")));
                });
    }

private:
    /// Returns the filled-in template with another line for the stop limit.
    static std::string with_stop_limit(const std::string& line)
    {
        std::string text = fill_template({});
        const auto begin = text.find("stop_limit");
        return text.replace(begin, text.find('\n', begin) - begin, line);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

} // namespace mangolink::test
