#include "connection/http_client.hpp"
#include "connection/sse_parser.hpp"

#include <curl/curl.h>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace
{

using namespace mangolink;
using nlohmann::json;

constexpr const char* help =
    "Usage: mangolink-ask --target HOST:PORT --pipeline NAME --customer NAME\n"
    "                     (--input TEXT [--tokens N] | --body JSON)\n"
    "Sends one request and prints the answer, the time of each stage and the\n"
    "cost.\n";

struct ask_arguments final
{
    std::string target;
    std::string pipeline;
    std::string customer;
    std::string input;
    std::string body;
    int tokens = 32;
};

/// Prints the text of an event stream and returns the outcome event.
json print_stream(const std::string& body)
{
    sse_parser parser;
    json outcome;
    for (const auto& event : parser.add(body))
    {
        const json data = json::parse(event.data, nullptr, false);
        if (event.name == "outcome")
        {
            outcome = data;
        }
        else if (data.is_object())
        {
            std::cout << data.value("text", "");
        }
    }
    std::cout << "\n";
    return outcome;
}

void print_outcome(const json& result)
{
    std::cout << "outcome " << result.value("outcome", "") << ", code "
              << result.value("code", 0) << ", request "
              << result.value("request_id", "") << "\n";
    for (const auto& stage : result.value("stages", json::array()))
    {
        std::cout << "  " << std::left << std::setw(10)
                  << stage.value("stage", "") << std::setw(16)
                  << stage.value("server", "") << std::right << std::fixed
                  << std::setprecision(2) << std::setw(9)
                  << stage.value("elapsed_ms", 0.0) << " ms, at the server "
                  << stage.value("service_ms", 0.0) << " ms\n";
    }
    std::cout << "cost: " << result.value("cost", json()).dump() << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    const option options[] = {
        {"target", 1, nullptr, 't'},   {"pipeline", 1, nullptr, 'p'},
        {"customer", 1, nullptr, 'c'}, {"input", 1, nullptr, 'i'},
        {"tokens", 1, nullptr, 'n'},   {"body", 1, nullptr, 'b'},
        {"help", 0, nullptr, 'h'},     {nullptr, 0, nullptr, 0}};
    curl_global_init(CURL_GLOBAL_DEFAULT);
    ask_arguments arguments;
    for (int found = 0;
         (found = getopt_long(argc, argv, "h", options, nullptr)) != -1;)
    {
        switch (found)
        {
        case 't':
            arguments.target = optarg;
            break;
        case 'p':
            arguments.pipeline = optarg;
            break;
        case 'c':
            arguments.customer = optarg;
            break;
        case 'i':
            arguments.input = optarg;
            break;
        case 'n':
            arguments.tokens = std::stoi(optarg);
            break;
        case 'b':
            arguments.body = optarg;
            break;
        default:
            std::cout << help;
            return found == 'h' ? 0 : 2;
        }
    }
    const bool streamed = arguments.body.empty();
    http_call call;
    call.method = "POST";
    call.url = "http://" + arguments.target + "/v1/pipelines/" +
               arguments.pipeline + "/requests";
    call.headers = {{"Mangolink-Customer", arguments.customer}};
    call.limit = milliseconds(60'000);
    call.body = arguments.body;
    if (streamed)
    {
        call.headers.push_back({"Accept", "text/event-stream"});
        call.body =
            json{{"input", arguments.input}, {"max_tokens", arguments.tokens}}
                .dump();
    }
    http_client client;
    const http_result result = client.call(call);
    json outcome = json::parse(result.body, nullptr, false);
    if (!outcome.is_object())
    {
        outcome = print_stream(result.body);
    }
    else
    {
        std::cout << outcome.value("answer", json()).dump() << "\n";
    }
    if (!outcome.is_object())
    {
        std::cerr << "mangolink-ask: no answer: " << result.error << "\n";
        return 1;
    }
    print_outcome(outcome);
    return outcome.value("outcome", "") == "complete" ? 0 : 1;
}
