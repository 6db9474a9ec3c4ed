#include "process/member_table.hpp"
#include "request/backend_selector.hpp"
#include "request/customer_limiter.hpp"
#include "request/retry_budget.hpp"
#include "request/run_actions.hpp"
#include "request/run_executor.hpp"
#include "request/service_estimator.hpp"
#include "request/stage_codec.hpp"
#include "support/foundry_configuration.hpp"
#include "support/section.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"
#include "wire/mangolink.pb.h"

#include <nlohmann/json.hpp>

#include <random>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

struct sent_message final
{
    member_id to;
    wire::envelope message;
};

/// Records the actions of the executor.
class recorded_actions final : public run_actions
{
public:
    bool send(member_id to, wire::envelope& message) override
    {
        if (transport_works)
        {
            sent.push_back({to, message});
        }
        return transport_works;
    }
    void deliver(const request_id&, std::string_view text) override
    {
        streamed += text;
    }
    void finish(const request_id&, run_result result) override
    {
        results.push_back(std::move(result));
    }

    bool transport_works = true;
    std::vector<sent_message> sent;
    std::vector<run_result> results;
    std::string streamed;
};

/// Executor with two members in each pool.
struct executor_fixture final
{
    executor_fixture() : store(trail)
    {
        json value{{"pipelines", foundry_pipelines()},
                   {"customers", foundry_customers()}};
        for (const std::string pool :
             {"encoders", "retrievers", "rerankers", "engines", "desk"})
        {
            value["pools"][pool] = json::object();
            for (const std::string number : {"-1", "-2"})
            {
                value["backend_servers"][pool + number] = {
                    {"pool", pool},
                    {"zone", "a"},
                    {"region", "r"},
                    {"agent", "127.0.0.1:1"}};
            }
        }
        store.accept_snapshot(json{{"number", 1}, {"value", value}}.dump());
        members.apply(*store.current());
        for (const member_id id : members.all())
        {
            members.record_message(id, agent, now);
            wire::load_report load;
            load.set_limit(4);
            load.set_state(1);
            members.update_load(id, load, now);
        }
    }

    void start(const std::string& pipeline, bool streamed = false)
    {
        run_request run;
        run.version = store.current();
        run.id = request_id::random(random);
        run.selected_pipeline = run.version->find_pipeline(pipeline);
        run.requesting_customer = run.version->find_customer("caster");
        run.context = *read_caller_body(
            run.selected_pipeline->stages.front().kind, R"({"input": "tin"})");
        run.deadline = now + std::chrono::seconds(3);
        run.streamed = streamed;
        executor.start(std::move(run), now);
    }

    /// Returns the last submit sent, checked to be one.
    const sent_message& last() const
    {
        CPPUNIT_ASSERT(!actions.sent.empty());
        CPPUNIT_ASSERT(actions.sent.back().message.has_submit());
        return actions.sent.back();
    }

    template <class Message>
    Message about_last() const
    {
        const auto& submit = last().message.submit();
        Message message;
        message.mutable_ref()->set_request_id(submit.request_id());
        message.mutable_ref()->set_stage(submit.stage());
        message.mutable_ref()->set_attempt(submit.attempt());
        return message;
    }

    void refuse(result_code code)
    {
        auto message = about_last<wire::refused>();
        message.set_code(static_cast<std::uint32_t>(code));
        executor.on_refused(last().to, agent, message, now);
    }

    void answer(const std::string& body)
    {
        auto message = about_last<wire::finished>();
        message.set_code(1000);
        message.set_body(body);
        executor.on_finished(last().to, agent, message, now);
    }

    void pass_deadline() { executor.on_time(now + std::chrono::seconds(4)); }

    const run_result& result() const
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.results.size());
        return actions.results.front();
    }

    const incarnation agent{7};
    const boot_clock::time_point now{std::chrono::hours(1)};
    audit_trail trail;
    configuration_store store;
    std::mt19937_64 random{1};
    member_table members{{.instance = "e", .zone = "a", .region = "r"}};
    backend_selector selector{{}, members, random};
    service_estimator estimator;
    customer_limiter limiter;
    retry_budget retries{0.1, 10};
    recorded_actions actions;
    run_executor executor{
        {}, {members, selector, estimator, limiter, retries, actions}};
};

} // namespace

class run_executor_test final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(run_executor_test);
    CPPUNIT_TEST(refused_attempts_have_not_run);
    CPPUNIT_TEST(a_missing_answer_leaves_the_outcome_unknown);
    CPPUNIT_TEST(non_idempotent_stages_are_sent_once);
    CPPUNIT_TEST(answers_of_other_senders_are_ignored);
    CPPUNIT_TEST(streams_of_two_attempts_are_never_joined);
    CPPUNIT_TEST(admission_refuses_before_the_first_stage);
    CPPUNIT_TEST_SUITE_END();

public:
    void refused_attempts_have_not_run()
    {
        section("a refused attempt is retried at another backend server",
                []
                {
                    executor_fixture run;
                    run.start("question");
                    const member_id first = run.last().to;
                    run.refuse(result_code::leaving);
                    CPPUNIT_ASSERT(run.last().to != first);
                    CPPUNIT_ASSERT_EQUAL(1U,
                                         run.last().message.submit().attempt());
                });
        section("when all members refuse, nothing has run",
                []
                {
                    executor_fixture run;
                    run.start("question");
                    run.refuse(result_code::leaving);
                    run.refuse(result_code::queue_full);
                    CPPUNIT_ASSERT(run.result().end == outcome::not_run);
                });
        section("a message that is not sent has not run",
                []
                {
                    executor_fixture run;
                    run.actions.transport_works = false;
                    run.start("question");
                    CPPUNIT_ASSERT(run.result().end == outcome::not_run);
                    CPPUNIT_ASSERT(run.actions.sent.empty());
                });
        section(
            "a refusal in the second stage does not hide the completed first",
            []
            {
                executor_fixture run;
                run.start("dossier");
                run.answer(R"({"data":[{"embedding":[1]}]})");
                run.refuse(result_code::leaving);
                run.refuse(result_code::leaving);
                CPPUNIT_ASSERT(run.result().end == outcome::failed);
            });
    }

    void a_missing_answer_leaves_the_outcome_unknown()
    {
        section("an attempt without an answer is unknown at the deadline",
                []
                {
                    executor_fixture run;
                    run.start("question");
                    run.pass_deadline();
                    CPPUNIT_ASSERT(run.result().end == outcome::unknown);
                    CPPUNIT_ASSERT(
                        run.actions.sent.back().message.has_cancel());
                });
        section("an earlier refused attempt does not change that",
                []
                {
                    executor_fixture run;
                    run.start("question");
                    run.refuse(result_code::leaving);
                    run.pass_deadline();
                    CPPUNIT_ASSERT(run.result().end == outcome::unknown);
                });
        section("an answer after the deadline is ignored",
                []
                {
                    executor_fixture run;
                    run.start("question");
                    const auto submit = run.last();
                    auto late = run.about_last<wire::finished>();
                    late.set_code(1000);
                    run.pass_deadline();
                    run.executor.on_finished(submit.to, run.agent, late,
                                             run.now);
                    CPPUNIT_ASSERT(run.result().end == outcome::unknown);
                });
    }

    void non_idempotent_stages_are_sent_once()
    {
        section("a lost agent leaves the outcome unknown, without a retry",
                []
                {
                    executor_fixture run;
                    run.start("commission");
                    run.executor.on_member_lost(run.last().to, run.now);
                    CPPUNIT_ASSERT(run.result().end == outcome::unknown);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         run.actions.sent.size());
                });
        section("a refusal allows a retry",
                []
                {
                    executor_fixture run;
                    run.start("commission");
                    run.refuse(result_code::leaving);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         run.actions.sent.size());
                    run.answer(R"({"ok": true})");
                    CPPUNIT_ASSERT(run.result().end == outcome::complete);
                });
        section("an idempotent stage is retried when its agent is lost",
                []
                {
                    executor_fixture run;
                    run.start("question");
                    run.executor.on_member_lost(run.last().to, run.now);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                                         run.actions.sent.size());
                });
    }

    void answers_of_other_senders_are_ignored()
    {
        executor_fixture run;
        run.start("question");
        const auto submit = run.last();
        auto message = run.about_last<wire::finished>();
        message.set_code(1000);
        message.set_body(R"({"data":[{"embedding":[1]}]})");
        section("answers of another incarnation at the same address",
                [&]
                {
                    run.executor.on_finished(submit.to, incarnation(8), message,
                                             run.now);
                    CPPUNIT_ASSERT(run.actions.results.empty());
                });
        section("answers of another agent",
                [&]
                {
                    for (const member_id id : run.members.all())
                    {
                        if (id != submit.to)
                        {
                            run.executor.on_finished(id, run.agent, message,
                                                     run.now);
                        }
                    }
                    CPPUNIT_ASSERT(run.actions.results.empty());
                });
        section("the answer of the addressed agent is accepted once",
                [&]
                {
                    run.executor.on_finished(submit.to, run.agent, message,
                                             run.now);
                    run.executor.on_finished(submit.to, run.agent, message,
                                             run.now);
                    CPPUNIT_ASSERT(run.result().end == outcome::complete);
                });
    }

    void streams_of_two_attempts_are_never_joined()
    {
        executor_fixture run;
        run.start("talk", true);
        const auto submit = run.last();
        const auto chunk = [&](std::uint32_t sequence, const char* text)
        {
            auto message = run.about_last<wire::chunk>();
            message.set_sequence(sequence);
            message.set_data(text);
            run.executor.on_chunk(submit.to, run.agent, message);
        };
        section("delayed and duplicate chunks are delivered in order",
                [&]
                {
                    chunk(1, "b");
                    chunk(0, "a");
                    chunk(0, "a");
                    CPPUNIT_ASSERT_EQUAL(std::string("ab"),
                                         run.actions.streamed);
                });
        section("a stream of a lost agent is not continued by another attempt",
                [&]
                {
                    run.executor.on_member_lost(submit.to, run.now);
                    CPPUNIT_ASSERT(run.result().end == outcome::unknown);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                         run.actions.sent.size());
                });
        section("a stream with missing chunks fails",
                []
                {
                    executor_fixture broken;
                    broken.start("talk", true);
                    auto message = broken.about_last<wire::chunk>();
                    message.set_data("a");
                    broken.executor.on_chunk(broken.last().to, broken.agent,
                                             message);
                    auto end = broken.about_last<wire::finished>();
                    end.set_code(1000);
                    end.set_chunks(2);
                    broken.executor.on_finished(broken.last().to, broken.agent,
                                                end, broken.now);
                    CPPUNIT_ASSERT(broken.result().end == outcome::failed);
                });
    }

    void admission_refuses_before_the_first_stage()
    {
        section(
            "a request that cannot meet its deadline is not started",
            []
            {
                executor_fixture run;
                const auto& stage =
                    run.store.current()->find_pipeline("question")->stages[0];
                run.estimator.add(stage.estimate_key, std::chrono::seconds(10));
                run.start("question");
                CPPUNIT_ASSERT(run.result().code ==
                               result_code::deadline_unreachable);
                CPPUNIT_ASSERT(run.result().retry_after > microseconds(0));
                CPPUNIT_ASSERT(run.actions.sent.empty());
            });
        section("a request for a pool without usable members is refused",
                []
                {
                    executor_fixture run;
                    for (const std::string name : {"desk-1", "desk-2"})
                    {
                        run.members.mark_leaving(name);
                    }
                    run.start("commission");
                    CPPUNIT_ASSERT(run.result().code == result_code::no_server);
                    CPPUNIT_ASSERT(run.result().end == outcome::not_run);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_executor_test);

} // namespace mangolink::test
