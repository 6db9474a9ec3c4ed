#include "request/idempotency_key.hpp"
#include "roles/agent_actions.hpp"
#include "roles/agent_core.hpp"
#include "support/section.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"
#include "wire/mangolink.pb.h"

#include <random>

namespace mangolink::test
{
namespace
{

/// Records the messages that the agent sends and the calls that it starts.
class recording_agent_actions final : public agent_actions
{
public:
    void send(const std::string&, wire::envelope& message) override
    {
        sent.push_back(message);
    }
    void start_call(backend_call call) override
    {
        started.push_back(std::move(call));
    }
    void cancel_call(call_id) override { ++cancelled; }

    std::vector<wire::envelope> sent;
    std::vector<backend_call> started;
    int cancelled = 0;
};

struct agent_fixture final
{
    wire::envelope submit(const std::string& id, bool idempotent = true)
    {
        wire::envelope message;
        message.set_schema(1);
        message.set_receiver(own.value());
        wire::submit& submit = *message.mutable_submit();
        submit.set_request_id(id);
        submit.set_kind(4);
        submit.set_body("{}");
        submit.set_budget_us(1'000'000);
        submit.set_customer("caster");
        submit.set_idempotent(idempotent);
        return message;
    }

    void deliver(const wire::envelope& message)
    {
        core.on_message("entry", message, time);
    }

    void cancel(const std::string& id)
    {
        wire::envelope message;
        message.set_schema(1);
        message.set_receiver(own.value());
        message.mutable_cancel()->mutable_ref()->set_request_id(id);
        deliver(message);
    }

    unsigned last_refusal() const
    {
        return actions.sent.empty() ? 0 : actions.sent.back().refused().code();
    }

    const incarnation own{9};
    agent_time time{
        boot_clock::time_point(std::chrono::hours(1)),
        std::chrono::system_clock::time_point(std::chrono::hours(1000))};
    audit_trail trail;
    configuration_store store{trail};
    recording_agent_actions actions;
    agent_core core{
        {.server = "desk-1", .limit = 1, .max_queue = 2}, own, store, actions};
};

const std::string first_id = "aaaaaaaaaaaaaaaa";
const std::string second_id = "bbbbbbbbbbbbbbbb";

} // namespace

class agent_core_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(agent_core_test);
    CPPUNIT_TEST(refused_work_never_runs);
    CPPUNIT_TEST(copies_run_once);
    CPPUNIT_TEST(leaving_agents_refuse_new_work);
    CPPUNIT_TEST(idempotency_keys);
    CPPUNIT_TEST_SUITE_END();

public:
    void refused_work_never_runs()
    {
        agent_fixture agent;
        agent.deliver(agent.submit(first_id));
        agent.deliver(agent.submit(second_id));
        section("a queued request that is cancelled is refused with proof",
                [&]
                {
                    agent.cancel(second_id);
                    CPPUNIT_ASSERT_EQUAL(1303U, agent.last_refusal());
                });
        section("a late copy of a cancelled request does not run",
                [&]
                {
                    agent.deliver(agent.submit(second_id));
                    agent.core.on_call_ended(agent.actions.started[0].id, {},
                                             agent.time);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         agent.actions.started.size());
                });
        section("a request whose deadline cannot be met is refused",
                [&]
                {
                    agent_fixture other;
                    auto late = other.submit(first_id);
                    late.mutable_submit()->set_budget_us(0);
                    late.mutable_submit()->set_expected_work_us(1);
                    other.deliver(late);
                    CPPUNIT_ASSERT_EQUAL(1200U, other.last_refusal());
                    CPPUNIT_ASSERT(other.actions.started.empty());
                });
        section("a request to a full queue is refused",
                []
                {
                    agent_fixture other;
                    for (const char letter : {'a', 'b', 'c', 'd'})
                    {
                        other.deliver(other.submit(std::string(16, letter)));
                    }
                    CPPUNIT_ASSERT_EQUAL(1201U, other.last_refusal());
                });
    }

    void copies_run_once()
    {
        agent_fixture agent;
        agent.deliver(agent.submit(first_id));
        agent.deliver(agent.submit(first_id));
        agent.core.on_call_ended(agent.actions.started[0].id, {}, agent.time);
        agent.deliver(agent.submit(first_id));
        section("three copies of a request start one call",
                [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         agent.actions.started.size());
                });
        section("a submit for an earlier incarnation is refused",
                [&]
                {
                    auto old = agent.submit(second_id);
                    old.set_receiver(8);
                    agent.deliver(old);
                    CPPUNIT_ASSERT_EQUAL(1302U, agent.last_refusal());
                });
    }

    void leaving_agents_refuse_new_work()
    {
        agent_fixture agent;
        agent.deliver(agent.submit(first_id));
        agent.core.begin_leaving();
        section("new requests are refused",
                [&]
                {
                    agent.deliver(agent.submit(second_id));
                    CPPUNIT_ASSERT_EQUAL(1301U, agent.last_refusal());
                    CPPUNIT_ASSERT(!agent.core.drained());
                });
        section("the running request is finished",
                [&]
                {
                    backend_answer answer;
                    answer.code = result_code::complete;
                    agent.core.on_call_ended(agent.actions.started[0].id,
                                             answer, agent.time);
                    CPPUNIT_ASSERT_EQUAL(
                        1000U, agent.actions.sent.back().finished().code());
                    CPPUNIT_ASSERT(agent.core.drained());
                });
    }

    void idempotency_keys()
    {
        agent_fixture agent;
        std::minstd_rand random;
        const auto key = [&](const incarnation& owner, int seconds_left)
        {
            const auto expiry =
                std::chrono::time_point_cast<std::chrono::seconds>(
                    agent.time.wall) +
                std::chrono::seconds(seconds_left);
            return idempotency_key::issue("desk-1", owner, expiry, random)
                .text();
        };
        const auto deliver = [&](const std::string& id, const std::string& text,
                                 const std::string& body)
        {
            auto message = agent.submit(id, false);
            message.mutable_submit()->set_idempotency_key(text);
            message.mutable_submit()->set_body(body);
            agent.deliver(message);
        };
        const std::string valid_key = key(agent.own, 60);
        section(
            "the first submission runs; the second is told that it is running",
            [&]
            {
                deliver(first_id, valid_key, "{}");
                deliver(second_id, valid_key, "{}");
                CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                     agent.actions.started.size());
                CPPUNIT_ASSERT_EQUAL(
                    1501U, agent.actions.sent.back().finished().code());
            });
        section("a cancel does not stop a non-idempotent request",
                [&]
                {
                    agent.cancel(first_id);
                    CPPUNIT_ASSERT_EQUAL(0, agent.actions.cancelled);
                });
        section("a repeat after the end gets the stored answer",
                [&]
                {
                    backend_answer answer;
                    answer.code = result_code::complete;
                    answer.body = "{\"cast\":1}";
                    agent.core.on_call_ended(agent.actions.started[0].id,
                                             answer, agent.time);
                    deliver("cccccccccccccccc", valid_key, "{}");
                    const auto& again = agent.actions.sent.back().finished();
                    CPPUNIT_ASSERT(again.repeated());
                    CPPUNIT_ASSERT_EQUAL(answer.body, again.body());
                });
        section("expired, reused and foreign keys start no call",
                [&]
                {
                    deliver("dddddddddddddddd", key(incarnation(8), 60), "{}");
                    deliver("eeeeeeeeeeeeeeee", key(agent.own, -1), "{}");
                    deliver("ffffffffffffffff", valid_key, "{\"other\":1}");
                    CPPUNIT_ASSERT_EQUAL(1108U, agent.last_refusal());
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         agent.actions.started.size());
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_core_test);

} // namespace mangolink::test
