#include "connection/backend_client.hpp"

#include "connection/sse_parser.hpp"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstring>
#include <optional>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr std::string_view done_marker = "[DONE]";

std::uint32_t token_count(const json& usage, const char* key)
{
    const auto found = usage.find(key);
    const bool readable = found != usage.end() && found->is_number_unsigned();
    return readable ? found->get<std::uint32_t>() : 0;
}

/// Returns whether the code implies that no byte of the request can have
/// reached the server.
bool never_connected(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
}

} // namespace

/// One call in progress.
class backend_client::transfer final
{
public:
    transfer(backend_client& owner, const backend_call& call)
        : owner_(owner), call_(call), easy_(curl_easy_init())
    {
        headers_ =
            curl_slist_append(headers_, "Content-Type: application/json");
        headers_ = curl_slist_append(headers_, "Expect:");
        headers_ = curl_slist_append(
            headers_,
            ("Mangolink-Request-Id: " + call_.request.text()).c_str());
        if (!call_.key.empty())
        {
            headers_ = curl_slist_append(
                headers_, ("Idempotency-Key: " + call_.key).c_str());
        }
        set_options();
    }

    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    ~transfer()
    {
        curl_multi_remove_handle(owner_.multi_, easy_);
        curl_easy_cleanup(easy_);
        curl_slist_free_all(headers_);
    }

    CURL* easy() const { return easy_; }
    call_id id() const { return call_.id; }

    backend_answer make_answer(CURLcode code)
    {
        long status = 0;
        curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
        answer_.http_status = static_cast<std::uint32_t>(status);
        answer_.handed_over = !never_connected(code);
        const bool whole = !call_.streamed || stream_ended_;
        if (code == CURLE_OK && status >= 200 && status < 300 && whole)
        {
            answer_.code = result_code::complete;
        }
        else if (code == CURLE_OK && call_.streamed && status == 200)
        {
            answer_.code = result_code::stream_broken;
        }
        else
        {
            answer_.code = result_code::stage_failed;
        }
        return std::move(answer_);
    }

private:
    void set_options()
    {
        const std::string url = owner_.settings_.base_url + call_.path;
        curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
        curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy_, CURLOPT_PROXY, "");
        curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call_.body.size()));
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, call_.body.data());
        curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &transfer::write);
        curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(
            easy_, CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(owner_.settings_.connect_limit.count()));
        const auto limit =
            std::chrono::ceil<milliseconds>(call_.time_limit).count();
        curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(limit > 0 ? limit : 1));
        if (!call_.idempotent)
        {
            curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    static std::size_t write(char* bytes, std::size_t size, std::size_t count,
                             void* self)
    {
        auto& current = *static_cast<transfer*>(self);
        const std::string_view data(bytes, size * count);
        const bool accepted = current.call_.streamed && current.status_is_ok()
                                  ? current.append_events(data)
                                  : current.append_body(data);
        return accepted ? data.size() : 0;
    }

    bool status_is_ok() const
    {
        long status = 0;
        curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
        return status == 200;
    }

    bool append_body(std::string_view data)
    {
        answer_.body += data;
        return answer_.body.size() <= owner_.settings_.max_answer_bytes;
    }

    bool append_events(std::string_view data)
    {
        std::string text;
        std::uint32_t tokens = 0;
        for (const auto& event : parser_.add(data))
        {
            if (event.data == done_marker)
            {
                stream_ended_ = true;
                continue;
            }
            append_completion(event.data, text, tokens);
        }
        answer_.generated_tokens += tokens;
        if (!text.empty())
        {
            owner_.events_.data(call_.id, std::move(text), tokens);
        }
        return !parser_.limit_exceeded();
    }

    void append_completion(const std::string& data, std::string& text,
                           std::uint32_t& tokens)
    {
        const json part = json::parse(data, nullptr, false);
        if (!part.is_object())
        {
            return;
        }
        const auto choices = part.find("choices");
        if (choices != part.end() && choices->is_array() && !choices->empty())
        {
            const auto& first = choices->front();
            const auto found = first.find("text");
            if (found != first.end() && found->is_string())
            {
                text += found->get_ref<const std::string&>();
                ++tokens;
            }
        }
        const auto usage = part.find("usage");
        if (usage != part.end() && usage->is_object())
        {
            answer_.prompt_tokens = token_count(*usage, "prompt_tokens");
            answer_.cached_tokens = token_count(*usage, "cached_tokens");
        }
    }

    backend_client& owner_;
    backend_call call_;
    CURL* easy_;
    curl_slist* headers_ = nullptr;
    sse_parser parser_;
    backend_answer answer_;
    bool stream_ended_ = false;
};

backend_client::backend_client(backend_client_settings settings,
                               backend_client_events events)
    : settings_(std::move(settings)), events_(std::move(events)),
      multi_(curl_multi_init())
{
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, settings_.max_connections);
}

backend_client::~backend_client()
{
    transfers_.clear();
    curl_multi_cleanup(multi_);
}

void backend_client::start(const backend_call& call)
{
    auto started = std::make_unique<transfer>(*this, call);
    curl_multi_add_handle(multi_, started->easy());
    transfers_.emplace(call.id, std::move(started));
}

void backend_client::cancel(call_id id)
{
    transfers_.erase(id);
}

void backend_client::perform()
{
    int running = 0;
    curl_multi_perform(multi_, &running);
    report_ended();
}

void backend_client::wait(int first_descriptor, int second_descriptor,
                          milliseconds limit)
{
    std::array<curl_waitfd, 2> extra{};
    extra[0].fd = first_descriptor;
    extra[0].events = CURL_WAIT_POLLIN;
    extra[1].fd = second_descriptor;
    extra[1].events = CURL_WAIT_POLLIN;
    curl_multi_poll(multi_, extra.data(), extra.size(),
                    static_cast<int>(limit.count()), nullptr);
}

void backend_client::report_ended()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left))
    {
        if (message->msg != CURLMSG_DONE)
        {
            continue;
        }
        const CURLcode code = message->data.result;
        void* private_data = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                          &private_data);
        auto* ended = static_cast<transfer*>(private_data);
        const call_id id = ended->id();
        const backend_answer answer = ended->make_answer(code);
        transfers_.erase(id);
        events_.ended(id, answer);
    }
}

} // namespace mangolink
