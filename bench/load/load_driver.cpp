#include "load/load_driver.hpp"

#include "connection/sse_parser.hpp"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <iterator>
#include <thread>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

constexpr milliseconds response_grace{5000};
constexpr milliseconds max_wait{10};

microseconds between(boot_clock::time_point from, boot_clock::time_point to)
{
    return std::chrono::duration_cast<microseconds>(to - from);
}

void read_result(const json& body, load_sample& sample)
{
    if (!body.is_object())
    {
        return;
    }
    sample.outcome = body.value("outcome", "");
    sample.code = body.value("code", 0U);
    for (const auto& stage : body.value("stages", json::array()))
    {
        const auto prompt = stage.value("prompt_tokens", std::uint64_t(0));
        const auto cached = stage.value("cached_tokens", std::uint64_t(0));
        sample.stages.push_back(
            {stage.value("stage", ""), stage.value("elapsed_ms", 0.0),
             stage.value("queued_ms", 0.0), stage.value("service_ms", 0.0),
             prompt - std::min(prompt, cached),
             stage.value("cross_region_bytes", std::uint64_t(0))});
    }
}

} // namespace

/// Request in flight. Reused, so that connections and curl handles persist.
class load_driver::transfer final
{
public:
    transfer() : easy_(curl_easy_init()) {}

    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    ~transfer()
    {
        curl_slist_free_all(headers_);
        curl_easy_cleanup(easy_);
    }

    CURL* easy() const { return easy_; }

    void prepare(const request_class& wanted, const std::string& target,
                 std::string body, boot_clock::time_point intended)
    {
        streamed_ = wanted.streamed;
        intended_ = intended;
        last_token_ = {};
        body_ = std::move(body);
        answer_.clear();
        parser_ = {};
        sample_ = {};
        curl_slist_free_all(headers_);
        headers_ = curl_slist_append(nullptr, "Content-Type: application/json");
        headers_ = curl_slist_append(headers_, "Expect:");
        headers_ = curl_slist_append(
            headers_, ("Mangolink-Customer: " + wanted.customer).c_str());
        headers_ = curl_slist_append(headers_,
                                     ("Mangolink-Deadline-Ms: " +
                                      std::to_string(wanted.deadline.count()))
                                         .c_str());
        if (streamed_)
        {
            headers_ = curl_slist_append(headers_, "Accept: text/event-stream");
        }
        const std::string url = "http://" + target + wanted.path;
        curl_easy_reset(easy_);
        curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy_, CURLOPT_PROXY, "");
        curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(body_.size()));
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, body_.data());
        curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
        curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &transfer::write);
        curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(
            easy_, CURLOPT_TIMEOUT_MS,
            static_cast<long>((wanted.deadline + response_grace).count()));
    }

    load_sample take_sample(boot_clock::time_point begin,
                            boot_clock::time_point now)
    {
        sample_.kind = kind;
        sample_.start = between(begin, intended_);
        sample_.latency = between(intended_, now);
        if (!answer_.empty())
        {
            long status = 0;
            curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
            const json body = json::parse(answer_, nullptr, false);
            read_result(body, sample_);
            if (sample_.outcome.empty() && status == 200)
            {
                // A backend server called directly reports no outcome.
                sample_.outcome = "complete";
            }
        }
        return std::move(sample_);
    }

    std::uint32_t kind = 0;

private:
    static std::size_t write(char* bytes, std::size_t size, std::size_t count,
                             void* self)
    {
        auto& request = *static_cast<transfer*>(self);
        const std::string_view data(bytes, size * count);
        char* type = nullptr;
        curl_easy_getinfo(request.easy_, CURLINFO_CONTENT_TYPE, &type);
        const bool events =
            request.streamed_ && type != nullptr &&
            std::string_view(type).starts_with("text/event-stream");
        events ? request.parse_events(data) : request.append_body(data);
        return data.size();
    }

    void append_body(std::string_view data) { answer_ += data; }

    void parse_events(std::string_view data)
    {
        const auto now = boot_clock::now();
        for (const auto& event : parser_.add(data))
        {
            if (event.name == "outcome")
            {
                read_result(json::parse(event.data, nullptr, false), sample_);
            }
            else if (event.data == "[DONE]")
            {
                sample_.outcome = "complete";
            }
            else
            {
                count_token(now);
            }
        }
    }

    void count_token(boot_clock::time_point now)
    {
        ++sample_.tokens;
        if (sample_.tokens == 1)
        {
            sample_.first_token = between(intended_, now);
        }
        else
        {
            sample_.gaps_ms.push_back(
                static_cast<float>(between(last_token_, now).count()) /
                1000.0F);
        }
        last_token_ = now;
    }

    CURL* easy_;
    curl_slist* headers_ = nullptr;
    bool streamed_ = false;
    boot_clock::time_point intended_;
    boot_clock::time_point last_token_;
    std::string body_;
    std::string answer_;
    sse_parser parser_;
    load_sample sample_;
};

load_driver::load_driver(const load_plan& plan,
                         const std::vector<arrival>& arrivals,
                         std::size_t first, std::size_t step)
    : plan_(plan), arrivals_(arrivals), next_(first), step_(step),
      multi_(curl_multi_init())
{
    constexpr long max_connections = 4000;
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_connections);
}

load_driver::~load_driver()
{
    idle_.clear();
    curl_multi_cleanup(multi_);
}

std::vector<load_sample> load_driver::run(boot_clock::time_point begin)
{
    begin_ = begin;
    while (next_ < arrivals_.size() || active_ > 0)
    {
        const auto now = boot_clock::now();
        milliseconds wait = max_wait;
        while (next_ < arrivals_.size())
        {
            const auto due =
                begin + std::chrono::duration_cast<boot_clock::duration>(
                            arrivals_[next_].at);
            if (due > now)
            {
                wait =
                    std::min(wait, std::chrono::floor<milliseconds>(due - now));
                break;
            }
            send(next_, due);
            next_ += step_;
        }
        int running = 0;
        curl_multi_perform(multi_, &running);
        collect();
        curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait.count()),
                        nullptr);
    }
    return std::move(samples_);
}

void load_driver::send(std::size_t index, boot_clock::time_point intended)
{
    std::unique_ptr<transfer> request;
    if (idle_.empty())
    {
        request = std::make_unique<transfer>();
    }
    else
    {
        request = std::move(idle_.back());
        idle_.pop_back();
    }
    const arrival& due_arrival = arrivals_[index];
    const request_class& kind = plan_.classes[due_arrival.kind];
    request->kind = due_arrival.kind;
    request->prepare(kind, plan_.targets[index % plan_.targets.size()],
                     body_of(kind, due_arrival, index), intended);
    curl_multi_add_handle(multi_, request.release()->easy());
    ++active_;
}

void load_driver::collect()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left))
    {
        if (message->msg != CURLMSG_DONE)
        {
            continue;
        }
        void* found = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &found);
        std::unique_ptr<transfer> request(static_cast<transfer*>(found));
        curl_multi_remove_handle(multi_, request->easy());
        samples_.push_back(request->take_sample(begin_, boot_clock::now()));
        idle_.push_back(std::move(request));
        --active_;
    }
}

std::vector<load_sample> run_load(const load_plan& plan)
{
    constexpr milliseconds start_delay{100};
    const auto arrivals = make_arrivals(plan);
    const auto begin = boot_clock::now() + start_delay;
    std::vector<std::vector<load_sample>> thread_samples(plan.threads);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < plan.threads; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                load_driver driver(plan, arrivals, i, plan.threads);
                thread_samples[i] = driver.run(begin);
            });
    }
    std::vector<load_sample> all;
    for (std::size_t i = 0; i < plan.threads; ++i)
    {
        threads[i].join();
        std::move(thread_samples[i].begin(), thread_samples[i].end(),
                  std::back_inserter(all));
    }
    return all;
}

} // namespace mangolink::bench
