#include "base/settings_error.hpp"
#include "base/settings_reader.hpp"
#include "roles/entry_settings.hpp"
#include "support/section.hpp"

namespace mangolink::test
{
namespace
{

const std::string valid_settings = R"([instance]
name = "entry-1"
zone = "vestland-1"
region = "vestland"
admin_address = "127.0.0.1:7900"
admin_key = "secret"
[entry]
listen = "127.0.0.1:8080"
)";

/// Returns the error message for the settings; empty if they are valid.
std::string problems_of(const std::string& text,
                        const std::vector<std::string>& overrides = {})
{
    try
    {
        settings_reader reader(text, "entry.toml");
        for (const auto& setting : overrides)
        {
            reader.apply_override(setting);
        }
        entry_settings::read(reader);
        reader.throw_if_invalid();
    }
    catch (const settings_error& error)
    {
        return error.what();
    }
    return {};
}

void expect_contains(const std::string& text, const std::string& part)
{
    CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
}

} // namespace

class settings_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(every_problem_is_named);
    CPPUNIT_TEST(precedence);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_problem_is_named()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), problems_of(valid_settings));
        section("an unknown key is reported with its line",
                []
                {
                    expect_contains(
                        problems_of(valid_settings + "lisen = \"x\"\n"),
                        "entry.toml:9: entry.lisen: unknown key");
                });
        section(
            "a value of the wrong type",
            []
            {
                expect_contains(
                    problems_of(valid_settings + "http_threads = \"two\"\n"),
                    "entry.toml:9: entry.http_threads: must be a whole "
                    "number from 1 to 64");
            });
        section("a value out of range",
                []
                {
                    expect_contains(
                        problems_of(valid_settings +
                                    "[limits]\nretry_share = 1.5\n"),
                        "entry.toml:10: limits.retry_share: must be a "
                        "number from 0 to 1");
                });
        section("a missing key and an invalid address are both reported",
                []
                {
                    const std::string text =
                        problems_of("[entry]\nlisten = \"nowhere\"\n");
                    expect_contains(text, "instance.name: missing");
                    expect_contains(
                        text, "entry.toml:2: entry.listen: must be an IPv4");
                });
        section(
            "text that is not TOML",
            [] { expect_contains(problems_of("[entry\n"), "entry.toml:1: "); });
    }

    void precedence()
    {
        section("an override takes precedence over the file",
                []
                {
                    settings_reader reader(valid_settings, "entry.toml");
                    reader.apply_override("entry.listen=127.0.0.1:9999");
                    reader.apply_override("routing.policy=round_robin");
                    const auto settings = entry_settings::read(reader);
                    reader.throw_if_invalid();
                    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9999"),
                                         settings.listen);
                    expect_contains(reader.effective(),
                                    "routing.policy = 'round_robin'");
                });
        section("an override is validated like the file",
                []
                {
                    expect_contains(problems_of(valid_settings,
                                                {"routing.policy=\"best\""}),
                                    "must be one of expected_wait");
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace mangolink::test
