#include "base/nonblocking_output_buffer.hpp"
#include "connection/task_message.hpp"
#include "platform/platform_protocol.hpp"
#include "platform/published_values.hpp"
#include "process/server_limit_table.hpp"
#include "support/process_memory.hpp"
#include "support/section.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <random>
#include <sstream>

namespace mangolink::test
{

/// Parsing of headers, stage answers and published values, and of messages
/// between gateways. Invalid input is rejected.
class translation_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(translation_test);
    CPPUNIT_TEST(headers_are_read);
    CPPUNIT_TEST(leaving_servers_are_recognized);
    CPPUNIT_TEST(holds_are_read);
    CPPUNIT_TEST(rate_limits_are_checked);
    CPPUNIT_TEST(an_odd_entry_names_no_server);
    CPPUNIT_TEST(an_id_stands_for_itself_in_headers_and_lists);
    CPPUNIT_TEST(a_host_is_no_other_text);
    CPPUNIT_TEST(odd_numbers_in_a_configuration_are_bounded);
    CPPUNIT_TEST(only_a_configuration_without_customers_asks_for_no_keys);
    CPPUNIT_TEST(a_route_whose_lists_cannot_be_read_is_refused);
    CPPUNIT_TEST(an_odd_customer_or_key_leaves_the_others_readable);
    CPPUNIT_TEST(events_without_a_number_are_read);
    CPPUNIT_TEST(prompts_with_a_shared_prefix_have_the_same_affinity);
    CPPUNIT_TEST(stage_answers_are_read);
    CPPUNIT_TEST(corrupted_input_is_handled);
    CPPUNIT_TEST(task_messages_round_trip);
    CPPUNIT_TEST(log_output_never_blocks);
    CPPUNIT_TEST_SUITE_END();

public:
    void headers_are_read()
    {
        http::fields headers;
        headers.set("X-Attempt-Id", "r1");
        headers.set("X-Deadline-Ms", "900");
        headers.set("X-Chunk-Count", "2,0,16");
        headers.set("Last-Event-Id", "7");
        const auto metadata = protocol_.read_request(headers);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), metadata.id);
        CPPUNIT_ASSERT(metadata.time_left == milliseconds(900));
        CPPUNIT_ASSERT(metadata.item_counts ==
                       (std::vector<std::uint32_t>{2, 0, 16}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), metadata.last_event);
        for (const char* bad : {"-1", "1.5", "soon", "99999999999999999999"})
        {
            headers.set("X-Deadline-Ms", bad);
            CPPUNIT_ASSERT_THROW(protocol_.read_request(headers),
                                 std::invalid_argument);
        }
    }

    void leaving_servers_are_recognized()
    {
        const auto read = [this](unsigned status, const char* value)
        {
            http::response_header<> answer;
            answer.result(status);
            answer.set("Server-Leaving", value);
            return protocol_.read_answer(answer).server_leaving;
        };
        CPPUNIT_ASSERT(read(200, "1"));
        CPPUNIT_ASSERT(read(503, "1"));
        CPPUNIT_ASSERT(!read(200, "0"));
        CPPUNIT_ASSERT(!read(421, "1"));
    }

    void holds_are_read()
    {
        const auto read = [this](unsigned status, const char* value)
        {
            http::response_header<> answer;
            answer.result(status);
            answer.set("Retry-After", value);
            return protocol_.read_answer(answer).hold;
        };
        CPPUNIT_ASSERT(read(503, "2") == milliseconds(2000));
        CPPUNIT_ASSERT(read(503, "0.25") == milliseconds(250));
        CPPUNIT_ASSERT(read(503, "1e9") == milliseconds(300'000));
        for (const char* bad : {"", "0", "-1", "nan", "inf", "soon",
                                "Fri, 31 Dec 1999 23:59:59 GMT"})
        {
            CPPUNIT_ASSERT(!read(503, bad));
        }
        CPPUNIT_ASSERT(!read(200, "2"));
        CPPUNIT_ASSERT(!read(429, "2"));
    }

    void rate_limits_are_checked()
    {
        const auto read = [this](const std::vector<std::string>& values,
                                 unsigned status = 200)
        {
            http::response_header<> answer;
            answer.result(status);
            for (const auto& value : values)
            {
                answer.insert("Server-Limit", value);
            }
            return protocol_.read_answer(answer).rate_limit;
        };
        CPPUNIT_ASSERT(read({"2"}) == 2.0);
        CPPUNIT_ASSERT(read({"0.05"}) == 0.05);
        CPPUNIT_ASSERT(read({"0"}, 503) == 0.0);
        CPPUNIT_ASSERT(read({"7", "2.5"}) == 2.5);
        CPPUNIT_ASSERT(read({}) == no_rate_limit);
        section("an answer with another value tells nothing",
                [&]
                {
                    for (const char* bad : {"", "-1", "nan", "inf", "1e999",
                                            "2,5", "0x10", "few"})
                    {
                        CPPUNIT_ASSERT(!read({bad}));
                        CPPUNIT_ASSERT(!read({"2", bad}));
                    }
                });
        section("nor does another server at the address",
                [&] { CPPUNIT_ASSERT(!read({"2"}, 421)); });
    }

    void an_odd_entry_names_no_server()
    {
        const auto entry =
            [](const std::string& address, const std::string& fields)
        {
            return R"({"service":"desk","zone":"z1","state":"ready","address":")" +
                   address + "\"," + fields + "}";
        };
        const auto refused = [](const std::string& text)
        {
            CPPUNIT_ASSERT_THROW(platform::read_server("id", text, {}),
                                 std::invalid_argument);
        };
        const std::string address = "127.0.0.1:9";
        const auto sound =
            platform::read_server("id", entry(address, "\"sequence\":1"), {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), sound.sequence);
        section(
            "numbers out of range",
            [&]
            {
                for (const char* number : {"-1", "1.5", "1e300", "1e999",
                                           "18446744073709551616", "\"1\""})
                {
                    const std::string value = number;
                    refused(entry(address, "\"sequence\":" + value));
                    for (const char* field : {"slots", "born"})
                    {
                        refused(entry(address, "\"sequence\":1,\"" +
                                                   std::string(field) +
                                                   "\":" + value));
                    }
                }
                refused(entry(address, "\"sequence\":1,\"slots\":4294967296"));
                refused(entry(address, "\"sequence\":18446744073709551615"));
            });
        section("ports out of range",
                [&]
                {
                    for (const char* port :
                         {":0", ":-1", ":65536", ":99999", ":", ""})
                    {
                        refused(entry("127.0.0.1" + std::string(port),
                                      "\"sequence\":1"));
                    }
                });
        section(
            "more elements than memory is for",
            [&]
            {
                std::string wide = "[0";
                constexpr std::size_t count = 1'000'000;
                for (std::size_t i = 0; i < count; ++i)
                {
                    wide += ",[]";
                }
                const auto before = process_memory(::getpid(), "VmPeak");
                refused(entry(address, "\"sequence\":1,\"x\":" + wide + "]"));
                constexpr std::uint64_t max_grown_bytes = 45'000'000;
                CPPUNIT_ASSERT(process_memory(::getpid(), "VmPeak") - before <
                               max_grown_bytes);
            });
        section("deep nesting",
                [&]
                {
                    constexpr std::size_t depth = 1'000'000;
                    const std::string open(depth, '[');
                    refused(open);
                    refused(open + std::string(depth, ']'));
                    const auto nested =
                        entry(address, "\"sequence\":1,\"x\":" + open +
                                           std::string(depth, ']'));
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("desk"),
                        platform::read_server("id", nested, {}).service);
                });
    }

    void an_id_stands_for_itself_in_headers_and_lists()
    {
        const std::string text =
            R"({"service":"desk","zone":"z1","state":"ready","sequence":1,)"
            R"("address":"127.0.0.1:9"})";
        for (const char* id :
             {"", " ", "a b", "a&b", "a+b", "a#b", "a%b", "a,b", "a\"b",
              "a\r\nb", "\x7f", "\xc3\xb8", "\xff"})
        {
            CPPUNIT_ASSERT_THROW(platform::read_server(id, text, {}),
                                 std::invalid_argument);
        }
        for (const char* id : {"i-7f3a91c2", "10.0.0.1:9", "a/b", "A.b_c~d@e"})
        {
            CPPUNIT_ASSERT_EQUAL(std::string(id),
                                 platform::read_server(id, text, {}).id);
        }
    }

    void a_host_is_no_other_text()
    {
        for (const char* host :
             {"127.0.0.1\\u0000", "127.0.0.1\\u0000\\r\\nX-Odd: x",
              "127.0.0.1 ", "host", ""})
        {
            const std::string text =
                R"({"service":"desk","zone":"z1","state":"ready",)"
                R"("sequence":1,"address":")" +
                std::string(host) + ":9\"}";
            CPPUNIT_ASSERT_THROW(platform::read_server("id", text, {}),
                                 std::invalid_argument);
        }
    }

    void odd_numbers_in_a_configuration_are_bounded()
    {
        const auto read = [](const std::string& route)
        {
            return read_configuration(
                R"({"version":1,"routes":[{"hostname":"h","prefix":"/",)"
                R"("service":"desk",)" +
                route + "}]}");
        };
        const auto odd = read(R"("timeoutMs":1e300,"targetLatencyMs":-1e300,)"
                              R"("maxAttempts":1e300,"priority":-1)");
        CPPUNIT_ASSERT(odd.routes[0].time_limit > milliseconds(0));
        CPPUNIT_ASSERT(odd.routes[0].latency_objective == milliseconds(0));
        CPPUNIT_ASSERT_EQUAL(1U, odd.routes[0].max_attempts);
        CPPUNIT_ASSERT_EQUAL(0U, odd.routes[0].priority);
        CPPUNIT_ASSERT_THROW(
            read(R"("phases":[{"service":"s","after":[1e300]}])"),
            std::invalid_argument);
    }

    void only_a_configuration_without_customers_asks_for_no_keys()
    {
        const auto requires_keys = [](const std::string& fields)
        {
            const gateway_configuration configuration(
                read_configuration(R"({"version":1)" + fields + "}"));
            return configuration.requires_api_keys();
        };
        CPPUNIT_ASSERT(!requires_keys(""));
        for (const char* value : {"[]", "null", "{}", "\"t\"", "0",
                                  R"([{"name":"t","apiKeys":[]}])"})
        {
            section(value,
                    [&] {
                        CPPUNIT_ASSERT(requires_keys(
                            std::string(R"(,"tenants":)") + value));
                    });
        }
    }

    /// Guards against requests that are sent without their stages, or to the
    /// default service, as the list of them can't be read.
    void a_route_whose_lists_cannot_be_read_is_refused()
    {
        const std::string route =
            R"({"hostname":"h","prefix":"/","service":"s")";
        const std::pair<std::string, std::string> lists[] = {
            {R"({"version":1,"routes":)", "}"},
            {R"({"version":1,"services":)", "}"},
            {R"({"version":1,"routes":[)" + route + R"(,"phases":)", "}]}"},
            {R"({"version":1,"routes":[)" + route + R"(,"trafficSplit":)",
             "}]}"},
            {R"({"version":1,"routes":[)" + route +
                 R"(,"phases":[{"service":"p","after":)",
             "}]}]}"}};
        for (const auto& [before, behind] : lists)
        {
            section(before,
                    [&, before = before, behind = behind]
                    {
                        read_configuration(before + "[]" + behind);
                        for (const char* value : {"null", "{}", "\"s\"", "1"})
                        {
                            CPPUNIT_ASSERT_THROW(
                                read_configuration(before + value + behind),
                                std::invalid_argument);
                        }
                    });
        }
    }

    /// Guards against requests without a key that run as a customer's, and
    /// against withdrawn keys that stay valid as their version is refused.
    void an_odd_customer_or_key_leaves_the_others_readable()
    {
        std::vector<std::string> omissions;
        const gateway_configuration configuration(platform::read_configuration(
            R"({"version":1,"tenants":[{"name":"a","apiKeys":["",7,"k"]},)"
            R"({"apiKeys":["unnamed"]},{"name":3,"apiKeys":["numbered"]},8,)"
            R"({"name":"b","apiKeys":"text"},{"name":"c","apiKeys":["l"]}]})",
            [&](std::string_view reason) { omissions.emplace_back(reason); }));
        for (const char* key : {"", "unnamed", "numbered", "text"})
        {
            section(std::string("key '") + key + "' is nobody's",
                    [&] {
                        CPPUNIT_ASSERT(configuration.find_customer(key) ==
                                       nullptr);
                    });
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             configuration.find_customer("k")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("c"),
                             configuration.find_customer("l")->name);
        section("what is left out is reported", [&]
                { CPPUNIT_ASSERT_EQUAL(std::size_t(6), omissions.size()); });
    }

    void events_without_a_number_are_read()
    {
        for (const char* event : {"id:\ndata: x\n\n", "id: \ndata: x\n\n",
                                  "id: x\n\n", "data: x\n\n"})
        {
            CPPUNIT_ASSERT(!protocol_.event_number(event));
        }
        CPPUNIT_ASSERT(protocol_.event_number("id:  7\ndata: x\n\n") == 7U);
    }

    void prompts_with_a_shared_prefix_have_the_same_affinity()
    {
        const auto read = [this](const char* parts)
        {
            http::fields headers;
            headers.set("X-Prompt-Prefix", parts);
            return protocol_.read_request(headers);
        };
        const auto one = read("aa:100,bb:50,cc:9");
        CPPUNIT_ASSERT_EQUAL(one.affinity, read("aa:100,bb:50,dd:3").affinity);
        CPPUNIT_ASSERT(one.affinity != read("aa:100,ee:50,cc:9").affinity);
        CPPUNIT_ASSERT_EQUAL(150U, one.shared_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), read("").affinity);
    }

    void stage_answers_are_read()
    {
        const auto results = protocol_.read_stage_answer(
            R"({"entries":[{"handle":"1.2.3.4:5/a"},{"reason":"late"},
                {"reason":"gone"},{"reason":"room"},{"reason":"?"},7]})",
            6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), results.size());
        CPPUNIT_ASSERT(results[0].end == stage_item_outcome::made);
        CPPUNIT_ASSERT(results[1].end == stage_item_outcome::late);
        CPPUNIT_ASSERT(results[2].end == stage_item_outcome::no_input);
        CPPUNIT_ASSERT(results[3].end == stage_item_outcome::no_room);
        CPPUNIT_ASSERT(results[4].end == stage_item_outcome::failed);
        CPPUNIT_ASSERT(results[5].end == stage_item_outcome::failed);
        CPPUNIT_ASSERT(protocol_.result_server(results[0].handle) ==
                       "1.2.3.4:5");
        section("an answer with the wrong number of items is rejected",
                [&]
                {
                    CPPUNIT_ASSERT(
                        protocol_.read_stage_answer(R"({"entries":[]})", 1)
                            .empty());
                });
        section(
            "a handle that cannot stand in a list or header names no result",
            [&]
            {
                const auto odd = protocol_.read_stage_answer(
                    R"({"entries":[{"handle":""},{"handle":"1:5/a,1:5/b"},
                            {"handle":"1:5/a b"},{"handle":"1:5/\r\nX-Odd: x"},
                            {"handle":"1:5/\u00f8"},{"handle":"1:5/a"}]})",
                    6);
                CPPUNIT_ASSERT_EQUAL(std::size_t(6), odd.size());
                for (std::size_t i = 0; i < 5; ++i)
                {
                    CPPUNIT_ASSERT(odd[i].end == stage_item_outcome::failed);
                    CPPUNIT_ASSERT(odd[i].handle.empty());
                }
                CPPUNIT_ASSERT(odd[5].end == stage_item_outcome::made);
            });
    }

    /// Parses valid values with random bytes replaced, cut off or repeated.
    void corrupted_input_is_handled()
    {
        const std::vector<std::string> valid_values{
            R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/x/",
                "routeType":"streaming","timeoutMs":6000,"trafficSplit":
                [{"service":"s","weight":90}],"phases":[{"service":"p",
                "after":[0],"length":3}]}],"services":[{"name":"s","segments":
                {"batchSize":3,"callTimeMs":1.5}}],"limits":{"idleTimeoutMs":9},
                "tenants":[{"name":"t","apiKeys":["k"],"priority":1}]})",
            R"({"service":"s","address":"127.0.0.1:9","zone":"z","state":
                "ready","slots":8,"sequence":4,"born":12})",
            R"({"entries":[{"handle":"1.2.3.4:5/a"},{"reason":"late"}]})"};
        std::mt19937 random(2026);
        int read = 0;
        for (int round = 0; round < 20'000; ++round)
        {
            std::string text = valid_values[random() % valid_values.size()];
            const auto corruptions = random() % 4;
            for (unsigned i = 0; i < corruptions; ++i)
            {
                corrupt(text, random);
            }
            read += parses(text) ? 1 : 0;
        }
        CPPUNIT_ASSERT(read > 100);
    }

    void task_messages_round_trip()
    {
        const auto now = boot_clock::now();
        stage_task task;
        task.request_id = "r1";
        task.service = "s";
        task.stage = 2;
        task.items = {0, 5};
        task.inputs = {"a", "b"};
        task.due = now - milliseconds(50);
        task.deadline = now + milliseconds(900);
        task.result_bytes = 3'000'000;
        const auto bytes = encode_task(task, "server-1", now);
        const auto decoded = decode_task(bytes, now);
        CPPUNIT_ASSERT(decoded && decoded->server == "server-1");
        CPPUNIT_ASSERT(decoded->task->items == task.items);
        CPPUNIT_ASSERT(decoded->task->inputs == task.inputs);
        CPPUNIT_ASSERT(decoded->task->due == task.due);
        CPPUNIT_ASSERT(decoded->task->deadline == task.deadline);
        const auto reply = decode_reply(
            encode_reply({{5, {stage_item_outcome::made, "h"}},
                          {0, {stage_item_outcome::no_room, ""}}}));
        CPPUNIT_ASSERT(reply && reply->size() == 2);
        CPPUNIT_ASSERT_EQUAL(std::string("h"), (*reply)[0].answer.handle);
        CPPUNIT_ASSERT((*reply)[1].answer.end == stage_item_outcome::no_room);
        CPPUNIT_ASSERT(!decode_task("\xff\xff\xff", now));
        CPPUNIT_ASSERT(!decode_reply("\x0a\x7f"));
    }

    void log_output_never_blocks()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        std::ostringstream stream;
        {
            nonblocking_output_buffer output(stream, ends[1], 100'000);
            for (int i = 0; i < 10'000; ++i)
            {
                static_cast<std::ostream&>(stream)
                    << "line " << i << " of a log that nobody reads\n";
                output.flush();
            }
            section("lines that exceed the buffer are dropped and counted", [&]
                    { CPPUNIT_ASSERT(output.take_dropped_count() > 1000); });
            section("lines are complete and in order",
                    [&]
                    {
                        std::string text(64 * 1024, '\0');
                        const auto size =
                            ::read(ends[0], text.data(), text.size());
                        CPPUNIT_ASSERT(size > 0);
                        CPPUNIT_ASSERT(text.starts_with(
                            "line 0 of a log that nobody reads\nline 1 "));
                    });
        }
        ::close(ends[0]);
        ::close(ends[1]);
    }

private:
    static void corrupt(std::string& text, std::mt19937& random)
    {
        const auto at = random() % text.size();
        switch (random() % 3)
        {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.resize(at + 1);
            break;
        default:
            text.insert(at, text.substr(at, random() % 20));
            break;
        }
    }

    bool parses(const std::string& text) const
    {
        bool any = !protocol_.read_stage_answer(text, 2).empty();
        try
        {
            platform::read_server("id", text, {});
            any = true;
        }
        catch (const std::invalid_argument&)
        {
            // The only exception that corrupted input may cause.
        }
        try
        {
            read_configuration(text);
            any = true;
        }
        catch (const std::invalid_argument&)
        {
            // The only exception that corrupted input may cause.
        }
        return any;
    }

    static gateway_configuration_data
    read_configuration(const std::string& text)
    {
        return platform::read_configuration(text, [](std::string_view) {});
    }

    platform::platform_protocol protocol_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(translation_test);

} // namespace mangolink::test
