#include "connection/update_message.hpp"
#include "process/peer_directory.hpp"
#include "process/published_entries.hpp"
#include "support/section.hpp"

#include <random>

namespace mangolink::test
{
namespace
{

backend_server make_entry(const std::string& id, std::uint64_t started)
{
    return {id, "desk", {"10.0.0.1", 80}, "z1", 4, started, 1, false};
}

peer make_peer(int number, const std::string& zone)
{
    return peer{incarnation(100 + static_cast<std::uint64_t>(number)),
                "g" + std::to_string(number),
                zone,
                {"10.0.0.1", static_cast<std::uint16_t>(number)},
                false};
}

} // namespace

/// Propagation of store entries between processes: which changes are sent, to
/// which processes, and which processes read the store.
class published_entries_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(published_entries_test);
    CPPUNIT_TEST(changes_lead_to_the_same_state);
    CPPUNIT_TEST(unknown_digests_yield_no_changes);
    CPPUNIT_TEST(messages_round_trip);
    CPPUNIT_TEST(corrupted_messages_are_rejected);
    CPPUNIT_TEST(distant_processes_get_fewer_heartbeats);
    CPPUNIT_TEST(a_large_zone_stays_responsive);
    CPPUNIT_TEST(few_processes_read_the_store);
    CPPUNIT_TEST_SUITE_END();

public:
    void changes_lead_to_the_same_state()
    {
        for (unsigned seed = 1; seed <= 50; ++seed)
        {
            std::mt19937 random(seed);
            published_entries source;
            published_entries copy;
            for (int step = 0; step < 200; ++step)
            {
                const auto id = "s" + std::to_string(random() % 9);
                if (random() % 3 == 0)
                {
                    source.remove(id);
                }
                else
                {
                    source.put(make_entry(id, random() % 4));
                }
                if (random() % 5 == 0)
                {
                    const auto changes = source.changes_since(copy.digest());
                    CPPUNIT_ASSERT(changes);
                    for (const auto& change : *changes)
                    {
                        change.entry ? copy.put(*change.entry)
                                     : copy.remove(change.id);
                    }
                    CPPUNIT_ASSERT_EQUAL(source.digest(), copy.digest());
                    CPPUNIT_ASSERT_EQUAL(source.all().size(),
                                         copy.all().size());
                }
            }
        }
    }

    void unknown_digests_yield_no_changes()
    {
        published_entries source;
        source.put(make_entry("s1", 1));
        const auto old = source.digest();
        for (std::uint64_t i = 0; i < 1000; ++i)
        {
            source.put(make_entry("s2", i));
        }
        CPPUNIT_ASSERT(!source.changes_since(old));
        CPPUNIT_ASSERT(!source.changes_since(12345));
        section("the complete list of entries restores the state",
                [&]
                {
                    published_entries copy;
                    copy.put(make_entry("gone", 1));
                    copy.replace_all(source.all());
                    CPPUNIT_ASSERT_EQUAL(source.digest(), copy.digest());
                });
    }

    void messages_round_trip()
    {
        update_response answer;
        answer.held = milliseconds(17);
        answer.configuration_version = 9;
        answer.entries_age = milliseconds(400);
        answer.failure_age = milliseconds(0);
        auto cold = make_entry("s1", 5);
        cold.cold_period = 4;
        cold.cold_until = now_ + milliseconds(900);
        answer.changes = {{"s1", cold}, {"s2", std::nullopt}};
        answer.evacuations = {{"z1", 12}};
        answer.evacuations_at = {2, 40};
        const auto read =
            decode_update_response(encode_update_response(answer, now_), now_);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(read->held == answer.held);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), read->configuration_version);
        CPPUNIT_ASSERT(read->failure_age == answer.failure_age);
        CPPUNIT_ASSERT(read->changes[0].entry->has_same_attributes(cold));
        CPPUNIT_ASSERT(read->changes[0].entry->cold_until == cold.cold_until);
        CPPUNIT_ASSERT_EQUAL(std::string("z1"), read->evacuations[0].zone);
        CPPUNIT_ASSERT(read->evacuations_at == answer.evacuations_at);
        CPPUNIT_ASSERT(!read->changes[1].entry);
    }

    void corrupted_messages_are_rejected()
    {
        update_response answer;
        answer.changes = {{"s1", make_entry("s1", 5)}};
        const std::string valid_message = encode_update_response(answer, now_);
        section("a snapshot without the entry of a server is rejected",
                [this, answer]() mutable
                {
                    answer.is_snapshot = true;
                    answer.changes.push_back({"s2", std::nullopt});
                    CPPUNIT_ASSERT(!decode_update_response(
                        encode_update_response(answer, now_), now_));
                });
        std::mt19937 random(7);
        for (int i = 0; i < 2000; ++i)
        {
            std::string bytes = valid_message;
            bytes[random() % bytes.size()] = static_cast<char>(random());
            bytes.resize(1 + random() % bytes.size());
            const auto read = decode_update_response(bytes, now_);
            for (const auto& change :
                 read ? read->changes : std::vector<entry_change>())
            {
                CPPUNIT_ASSERT(!change.entry || change.entry->address.port > 0);
            }
        }
    }

    void distant_processes_get_fewer_heartbeats()
    {
        const auto now = boot_clock::now();
        for (const int others : {4, 20})
        {
            peer_directory view({make_peer(0, "z1"), {"z1", "z2"}});
            for (int i = 1; i <= others; ++i)
            {
                const char* const zones[] = {"z1", "z2", "far", "far"};
                view.record_heartbeat(make_peer(i, zones[i % 4]), now);
            }
            const auto all = static_cast<std::size_t>(others);
            const bool reduced = others > 8;
            const auto in_zone = reduced ? all / 4 : all;
            const auto in_region = reduced ? all / 2 : all;
            CPPUNIT_ASSERT_EQUAL(
                all,
                view.heartbeat_targets(0, heartbeat_kind::liveness).size());
            CPPUNIT_ASSERT_EQUAL(
                in_zone,
                view.heartbeat_targets(1, heartbeat_kind::liveness).size());
            CPPUNIT_ASSERT_EQUAL(
                in_region,
                view.heartbeat_targets(3, heartbeat_kind::liveness).size());
            CPPUNIT_ASSERT_EQUAL(
                all,
                view.heartbeat_targets(9, heartbeat_kind::liveness).size());
            section("load reports are sent to distant processes more often",
                    [&]
                    {
                        const auto targets = [&](int number) {
                            return view
                                .heartbeat_targets(number, heartbeat_kind::load)
                                .size();
                        };
                        CPPUNIT_ASSERT_EQUAL(in_region, targets(2));
                        CPPUNIT_ASSERT_EQUAL(all, targets(4));
                    });
            section("also if others tell its address",
                    [&]
                    {
                        view.add_candidate(make_peer(others - 1, "").address,
                                           now);
                        CPPUNIT_ASSERT_EQUAL(
                            in_zone,
                            view.heartbeat_targets(1, heartbeat_kind::liveness)
                                .size());
                    });
            section("a process is unresponsive after three of its heartbeats",
                    [&]
                    {
                        const auto expired = [&](int ms)
                        { return view.expire(now + milliseconds(ms)).size(); };
                        CPPUNIT_ASSERT_EQUAL(std::size_t(0), expired(890));
                        CPPUNIT_ASSERT_EQUAL(in_zone, expired(910));
                        CPPUNIT_ASSERT_EQUAL(reduced ? in_region - in_zone : 0,
                                             expired(1810));
                        CPPUNIT_ASSERT_EQUAL(all - in_region, expired(4510));
                    });
        }
    }

    void a_large_zone_stays_responsive()
    {
        const auto now = boot_clock::now();
        peer_directory view({make_peer(0, "z1"), {"z1"}});
        for (int i = 1; i < 300; ++i)
        {
            auto other = make_peer(i, "z1");
            other.heartbeat_interval = milliseconds(2300);
            view.record_heartbeat(other, now);
        }
        section(
            "although its processes send few heartbeats", [&]
            { CPPUNIT_ASSERT(view.expire(now + milliseconds(2500)).empty()); });
    }

    void few_processes_read_the_store()
    {
        for (const int size : {1, 5, 60})
        {
            int readers = 0;
            for (int self = 1; self <= size; ++self)
            {
                peer_directory view({make_peer(self, "z1"), {}});
                for (int other = 1; other <= size; ++other)
                {
                    view.record_heartbeat(make_peer(other, "z1"),
                                          boot_clock::now());
                }
                view.record_heartbeat(make_peer(500, "z2"), boot_clock::now());
                for (const auto* one : view.readers())
                {
                    readers += one == &view.self() ? 1 : 0;
                }
            }
            CPPUNIT_ASSERT_EQUAL(size < 24 ? 1 : 3, readers);
        }
    }

private:
    const boot_clock::time_point now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(published_entries_test);

} // namespace mangolink::test
