#include "connection/platform_reader.hpp"
#include "standins/standin_server.hpp"
#include "support/section.hpp"

#include <condition_variable>

namespace mangolink::test
{

/// Reading of the instance list, whose entries may be odd: one that is decides
/// neither over the others nor over the process.
class instance_list_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_list_test);
    CPPUNIT_TEST(odd_entries_name_no_instance);
    CPPUNIT_TEST(an_unreadable_list_is_no_list);
    CPPUNIT_TEST_SUITE_END();

public:
    void odd_entries_name_no_instance()
    {
        lists_ = {R"({"instances":[{"name":7,"zone":"z1"},
            {"name":"n1","zone":["z1"]},{"name":"n2","zone":"z1","state":null},
            {"zone":"z1"},{"name":""},null,"n3",[],
            {"name":"n4","zone":"z2","state":"leaving"}]})"};
        const auto instances = read_next();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instances.size());
        CPPUNIT_ASSERT_EQUAL(std::string("n4"), instances[0].name);
        CPPUNIT_ASSERT_EQUAL(std::string("z2"), instances[0].zone);
        CPPUNIT_ASSERT(instances[0].leaving);
    }

    void an_unreadable_list_is_no_list()
    {
        lists_ = {"",
                  "not json",
                  "[]",
                  "{}",
                  R"({"instances":{}})",
                  "{\"instances\":[{\"name\":\"\xff\",\"zone\":\"z1\"}]}",
                  R"({"instances":[{"name":"n1","zone":"z1"}]})"};
        const auto instances = read_next();
        section("the next one that can be read follows",
                [&]
                {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), instances.size());
                    CPPUNIT_ASSERT_EQUAL(std::string("n1"), instances[0].name);
                });
    }

private:
    /// Returns what a reader finds first in the lists.
    std::vector<instance_entry> read_next()
    {
        std::mutex mutex;
        std::condition_variable read;
        std::optional<std::vector<instance_entry>> found;
        standin_server server(
            [this, next = std::size_t(0)](
                const text_request&, const standin_server::reply& reply) mutable
            {
                const auto index = std::min(next++, lists_.size() - 1);
                reply(scripted_answer::of(200, lists_[index]));
            });
        platform_reader_settings settings;
        settings.instance_list = server.address().text();
        settings.list_interval = milliseconds(10);
        platform_reader_events events;
        events.on_instances = [&](std::vector<instance_entry> instances)
        {
            const std::lock_guard lock(mutex);
            found = found ? found : std::move(instances);
            read.notify_all();
        };
        const platform_reader reader(settings, std::move(events));
        std::unique_lock lock(mutex);
        CPPUNIT_ASSERT(read.wait_for(lock, std::chrono::seconds(5),
                                     [&] { return found.has_value(); }));
        return *found;
    }

    std::vector<std::string> lists_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_list_test);

} // namespace mangolink::test
