#include "connection/http_client.hpp"

#include <curl/curl.h>

namespace mangolink
{

http_client::http_client() : easy_(curl_easy_init())
{
}

http_client::~http_client()
{
    curl_easy_cleanup(easy_);
}

http_result http_client::call(const http_call& request)
{
    http_result result;
    curl_easy_reset(easy_);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& header : request.headers)
    {
        headers = curl_slist_append(
            headers, (header.name + ": " + header.value).c_str());
    }
    curl_easy_setopt(easy_, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.limit.count()));
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &http_client::append_body);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &result);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION,
                     &http_client::append_header);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &result);
    curl_easy_setopt(easy_, CURLOPT_XFERINFOFUNCTION,
                     &http_client::check_abort);
    curl_easy_setopt(easy_, CURLOPT_XFERINFODATA, this);
    curl_easy_setopt(easy_, CURLOPT_NOPROGRESS, 0L);
    if (request.method != "GET")
    {
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body.data());
    }
    const CURLcode code = curl_easy_perform(easy_);
    long status = 0;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    if (code != CURLE_OK)
    {
        result.error = curl_easy_strerror(code);
        return result;
    }
    result.status = static_cast<std::uint32_t>(status);
    return result;
}

std::size_t http_client::append_body(char* bytes, std::size_t size,
                                     std::size_t count, void* result)
{
    static_cast<http_result*>(result)->body.append(bytes, size * count);
    return size * count;
}

std::size_t http_client::append_header(char* bytes, std::size_t size,
                                       std::size_t count, void* result)
{
    const std::string_view line(bytes, size * count);
    const auto colon = line.find(':');
    if (colon != std::string_view::npos)
    {
        std::string_view value = line.substr(colon + 1);
        const auto first = value.find_first_not_of(" \t");
        const auto last = value.find_last_not_of(" \t\r\n");
        value = first == std::string_view::npos
                    ? std::string_view()
                    : value.substr(first, last - first + 1);
        static_cast<http_result*>(result)->headers.push_back(
            {std::string(line.substr(0, colon)), std::string(value)});
    }
    return size * count;
}

int http_client::check_abort(void* self, std::int64_t, std::int64_t,
                             std::int64_t, std::int64_t)
{
    return static_cast<http_client*>(self)->aborted_ ? 1 : 0;
}

} // namespace mangolink
