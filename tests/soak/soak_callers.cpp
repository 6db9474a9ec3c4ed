#include "soak/soak_callers.hpp"

#include "soak/soak_cluster.hpp"

#include <memory>
#include <random>

namespace mangolink::test
{
namespace
{

/// Longer than any request may take.
constexpr milliseconds answer_timeout{9000};

/// Timeout of callers that disconnect before the answer.
constexpr milliseconds early_leave_timeout{30};

} // namespace

soak_callers::soak_callers(soak_cluster& cluster, std::uint64_t seed,
                           unsigned callers)
    : cluster_(cluster), records_(callers)
{
    for (unsigned i = 0; i < callers; ++i)
    {
        threads_.emplace_back([this, seed, i] { run_caller(seed, i); });
    }
}

soak_callers::~soak_callers()
{
    finish();
}

std::vector<soak_record> soak_callers::finish()
{
    stopping_ = true;
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
    std::vector<soak_record> all;
    for (auto& list : records_)
    {
        all.insert(all.end(), list.begin(), list.end());
        list.clear();
    }
    return all;
}

void soak_callers::run_caller(std::uint64_t seed, unsigned number)
{
    std::mt19937_64 random(seed * 1000 + number);
    std::unique_ptr<test_caller> connection;
    std::size_t gateway = 0;
    std::string key = cluster_.key();
    for (unsigned count = 0; !stopping_; ++count)
    {
        std::this_thread::sleep_for(milliseconds(random() % 25));
        // Callers go on using a key for some time after its revocation.
        key = random() % 40 == 0 ? cluster_.key() : key;
        soak_record record;
        record.id = "c" + std::to_string(number) + "-" + std::to_string(count);
        record.kind = static_cast<soak_kind>(random() % 5);
        record.key = random() % 4 == 0 ? key : test_key;
        if (record.kind == soak_kind::resumable_stream ||
            record.kind == soak_kind::plain_stream)
        {
            record.part = random() % 20 == 0
                              ? deadly_part
                              : "bb0" + std::to_string(random() % 9);
        }
        const bool leaves_early = random() % 20 == 0;
        try
        {
            if (!connection)
            {
                gateway = random() % cluster_.gateways();
                connection = std::make_unique<test_caller>(
                    cluster_.gateway(gateway).callers());
            }
        }
        catch (const boost::system::system_error&)
        {
            continue; // the process is down; nothing was sent
        }
        record.gateway = gateway;
        record.sent = boot_clock::now();
        const auto answer = connection->send_request(
            request_of(record),
            leaves_early ? early_leave_timeout : answer_timeout);
        record.set_answer(answer, connection->partial_body());
        if (!answer || !answer->keep_alive())
        {
            connection.reset();
        }
        records_[number].push_back(std::move(record));
    }
}

} // namespace mangolink::test
