#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <csignal>
#include <thread>

namespace mangolink::test
{
namespace
{

constexpr std::size_t gateway_count = 3;

/// Time that the store needs for its own return, and the time after which it
/// removes the entries of servers that are gone.
constexpr milliseconds store_outage{1000};
constexpr milliseconds stale_entries{3000};

/// Longer than the test waits for the servers that are gone.
constexpr milliseconds gone{7000};

/// Time after the store's return within which all is served again.
constexpr milliseconds recovery_limit{4000};

constexpr const char* revoked_key = "key-taken-away";

} // namespace

/// All gateways, all backend servers and the store lose power at once.
class power_loss_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(power_loss_test);
    CPPUNIT_TEST(all_is_served_again_while_entries_of_gone_servers_remain);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_is_served_again_while_entries_of_gone_servers_remain()
    {
        test_cluster cluster;
        auto& dark = cluster.add_backend("desk", "desk-1");
        auto& moved = cluster.add_backend("desk", "desk-2");
        auto& engine = cluster.add_backend("engine", "engine-1");
        auto& stage =
            cluster.add_stage_server("encode", "encode-1", milliseconds(20));
        engine.set_stream(2, milliseconds(1));
        configure(cluster);
        for (std::size_t i = 0; i < gateway_count; ++i)
        {
            cluster.start_gateway();
        }
        section("all is served, and a key is taken away",
                [&]
                {
                    for (const char* path : paths)
                    {
                        CPPUNIT_ASSERT_EQUAL(
                            200U, send(cluster, 0, path, "before", test_key));
                    }
                    cluster.configuration()["tenants"][0]["apiKeys"] = {
                        test_key};
                    cluster.publish();
                    CPPUNIT_ASSERT(bench::wait_until(
                        [&] {
                            return send(cluster, 0, "/status/x", "revoked",
                                        revoked_key) == 401;
                        }));
                });
        std::vector<std::thread> cut_off = begin_orders(cluster, dark, moved);

        kill_all(cluster);
        for (auto* server : {&dark, &moved, &engine})
        {
            server->server().fall_silent(gone);
        }
        stage.server().fall_silent(gone);
        for (auto& caller : cut_off)
        {
            caller.join();
        }

        auto& new_desk = cluster.add_backend("desk", "desk-3");
        auto& new_engine = cluster.add_backend("engine", "engine-2");
        cluster.add_stage_server("encode", "encode-2", milliseconds(20));
        new_engine.set_stream(2, milliseconds(1));
        // One of the new servers has the address of one that is gone.
        cluster.set_address("desk-2", new_desk.address());
        const unsigned served = start_and_send(cluster);
        section("all is served again within seconds",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(
                        unsigned(gateway_count * std::size(paths)), served);
                });
        section("no request ran twice, none with the key taken away",
                [&]
                {
                    const auto runs = count_runs(
                        {&dark, &moved, &engine, &new_desk, &new_engine});
                    for (const auto& [id, count] : runs)
                    {
                        CPPUNIT_ASSERT_MESSAGE(id, count <= 1);
                    }
                    CPPUNIT_ASSERT(runs.contains("order-0"));
                    for (const auto& request : new_desk.received())
                    {
                        CPPUNIT_ASSERT(!request.id.starts_with("revoked"));
                    }
                });
    }

private:
    static constexpr const char* paths[] = {"/status/x", "/orders/x",
                                            "/talk/x"};

    static void kill_all(test_cluster& cluster)
    {
        cluster.store().set_mode(store_mode::unresponsive);
        for (std::size_t i = 0; i < gateway_count; ++i)
        {
            cluster.gateway(i).process().signal(SIGKILL);
        }
    }

    /// Starts the gateways while the store returns, and sends requests of all
    /// kinds to each until they are served. Returns how many were in time.
    static unsigned start_and_send(test_cluster& cluster)
    {
        for (std::size_t i = 0; i < gateway_count; ++i)
        {
            cluster.gateway(i).process().wait(milliseconds(10'000));
            cluster.gateway(i).start();
        }
        std::thread store(
            [&]
            {
                std::this_thread::sleep_for(store_outage);
                cluster.store().set_mode(store_mode::serving);
                std::this_thread::sleep_for(stale_entries);
                for (const char* id :
                     {"desk-1", "desk-2", "engine-1", "encode-1"})
                {
                    cluster.unregister_server(id);
                }
            });
        std::atomic<unsigned> served{0};
        std::vector<std::thread> callers;
        const auto limit = boot_clock::now() + store_outage + recovery_limit;
        for (std::size_t i = 0; i < gateway_count; ++i)
        {
            for (const char* path : paths)
            {
                callers.emplace_back(
                    [&, i, path]
                    { served += send_until_served(cluster, i, path, limit); });
            }
            callers.emplace_back(
                [&, i]
                {
                    while (boot_clock::now() < limit)
                    {
                        send(cluster, i, "/status/x", "revoked", revoked_key);
                        std::this_thread::sleep_for(milliseconds(50));
                    }
                });
        }
        for (auto& caller : callers)
        {
            caller.join();
        }
        store.join();
        return served;
    }

    static std::map<std::string, unsigned>
    count_runs(const std::vector<const backend_standin*>& servers)
    {
        std::map<std::string, unsigned> runs;
        for (const auto* server : servers)
        {
            for (const auto& request : server->received())
            {
                runs[request.id] += request.ran ? 1 : 0;
            }
        }
        return runs;
    }

    static void configure(test_cluster& cluster)
    {
        cluster.add_route("/status/", "idempotent", "desk");
        cluster.add_route("/orders/", "non_idempotent", "desk");
        auto& route = cluster.add_route("/talk/", "streaming", "engine");
        cluster.add_stage(route);
        cluster.configuration()["tenants"][0]["apiKeys"] = {test_key,
                                                            revoked_key};
        cluster.publish();
    }

    /// Sends one request under an id of its own; returns its status, 0 if there
    /// is no answer.
    static unsigned send(test_cluster& cluster, std::size_t gateway,
                         const std::string& path, const std::string& name,
                         const std::string& key)
    {
        static std::atomic<unsigned> count{0};
        const std::string id = name + "-" + std::to_string(++count);
        auto request =
            cluster.staged_request(path, id, "2", milliseconds(4000));
        request.set("X-Key", key);
        try
        {
            test_caller caller(cluster.gateway(gateway).callers());
            const auto answer = caller.send_request(request);
            return answer ? answer->result_int() : 0;
        }
        catch (const std::exception&) // nobody listens yet
        {
            return 0;
        }
    }

    static unsigned send_until_served(test_cluster& cluster,
                                      std::size_t gateway,
                                      const std::string& path,
                                      boot_clock::time_point limit)
    {
        while (boot_clock::now() < limit)
        {
            if (send(cluster, gateway, path, "after", test_key) == 200)
            {
                return boot_clock::now() < limit ? 1 : 0;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return 0;
    }

    /// Sends orders that run at the servers while power is lost.
    static std::vector<std::thread> begin_orders(test_cluster& cluster,
                                                 backend_standin& one,
                                                 backend_standin& two)
    {
        one.set_delay(gone);
        two.set_delay(gone);
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < gateway_count; ++i)
        {
            const std::string id = "order-" + std::to_string(i);
            callers.emplace_back(
                [&cluster, i, id]
                {
                    test_caller caller(cluster.gateway(i).callers());
                    caller.send_request(cluster.request("/orders/x", id));
                });
            CPPUNIT_ASSERT(bench::wait_until(
                [&] { return one.run_count(id) + two.run_count(id) == 1; }));
        }
        return callers;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(power_loss_test);

} // namespace mangolink::test
