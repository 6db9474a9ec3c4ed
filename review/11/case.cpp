#include "deployment.hpp"

#include <sstream>

/// A request's body holds the text of another request, and the request names a
/// transfer coding that is not "chunked" at its end, so that its length can't
/// be known. Nothing of the body may be run.
namespace
{

using namespace review;

constexpr milliseconds answer_limit{3000};
constexpr milliseconds settle_time{500};
constexpr int rounds = 5;

std::string hidden_request(const std::string& id)
{
    return request_head("POST", "/enter/x", id, first_key,
                        "X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n");
}

std::string chunked(const std::string& text)
{
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n0\r\n\r\n";
}

void send_one(case_record& record, const std::string& address,
              const std::string& coding, const std::string& number)
{
    const std::string id = "outer-" + number;
    const std::string hidden = hidden_request("hidden-" + number);
    http_peer requester(address);
    const auto head = request_head(
        "POST", "/look/x", id, first_key,
        "X-Deadline-Ms: 1500\r\nTransfer-Encoding: " + coding + "\r\n");
    requester.send(head + (coding == "chunked" ? chunked(hidden) : hidden));
    record.write("sent " + id + " with Transfer-Encoding: " + coding +
                 ", its body holds the text of hidden-" + number);
    for (auto answer = requester.read(answer_limit); answer;
         answer = requester.read(settle_time))
    {
        record.write("answered " + answer->first_line + ", X-Attempt-Id '" +
                     answer->header("x-attempt-id") + "', body '" +
                     answer->body + "'");
    }
}

verdict play(case_record& record)
{
    mangolink::test::store_standin store;
    engine order("i-order1", [](const http_message&) { return engine_work(); });
    register_engine(store, order, "order", "vestland-a", 6);
    store.put("op/config", small_configuration(1, {first_key}).dump());
    const gateway one(1, "vestland-a", store.address(), machine_address(2),
                      work_folder());
    if (!one.wait_until_ready())
    {
        return verdict::not_run;
    }
    const std::vector<std::string> codings =
        with_trouble()
            ? std::vector<std::string>{"identity", "gzip", "chunked, identity",
                                       "xchunked"}
            : std::vector<std::string>{"chunked"};
    for (int round = 0; round < rounds; ++round)
    {
        for (std::size_t i = 0; i < codings.size(); ++i)
        {
            send_one(record, one.callers(), codings[i],
                     std::to_string(round) + "-" + std::to_string(i));
        }
    }
    record.write_runs(order);
    std::size_t hidden = 0;
    std::size_t outer = 0;
    for (const auto& run : order.runs())
    {
        const auto id = run.request.header("x-attempt-id");
        hidden += run.ran && id.starts_with("hidden-") ? 1 : 0;
        outer += run.ran && id.starts_with("outer-") ? 1 : 0;
    }
    record.write(std::to_string(hidden) +
                 " requests ran that no requester "
                 "sent; " +
                 std::to_string(outer) + " of those sent ran");
    return hidden > 0                      ? verdict::broken
           : !with_trouble() && outer == 0 ? verdict::not_run
                                           : verdict::held;
}

} // namespace

int main()
{
    return review::run_case(play);
}
