#include "standins/backend_standin.hpp"

#include "lab/child_process.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace mangolink::test
{

namespace
{

/// Time from the head of an answer to the crash that its request causes.
constexpr milliseconds crash_delay{30};

bool proves_not_run(backend_fault fault)
{
    return fault >= backend_fault::shed &&
           fault <= backend_fault::inputs_gone_copy;
}

/// Returns a refusal with proof, and a late copy of it for some faults.
scripted_answer refusal_of(backend_fault fault, const std::string& id,
                           std::vector<std::string> headers)
{
    if (fault == backend_fault::shed)
    {
        std::erase_if(headers, [](const std::string& header)
                      { return header.starts_with("X-Response-Seal"); });
        headers.emplace_back("X-Not-Executed: 1");
        return scripted_answer::of(503, "", headers);
    }
    const int status = fault == backend_fault::shed_copy       ? 503
                       : fault == backend_fault::too_many_copy ? 429
                                                               : 409;
    auto result = scripted_answer::of(
        status, "", {"X-Not-Executed: 1", "X-Attempt-Id: " + id});
    if (fault != backend_fault::inputs_gone)
    {
        result.parts.push_back({result.parts.front().bytes, milliseconds(400)});
    }
    return result;
}

bool has_part(const std::string& prompt, const std::string& part)
{
    return !part.empty() &&
           ("," + prompt).find("," + part + ":") != std::string::npos;
}

} // namespace

std::string answer_body(const std::string& server, const std::string& request)
{
    return "answer of " + server + " to " + request;
}

backend_standin::backend_standin(std::string id)
    : id_(std::move(id)), server_([this](const text_request& request,
                                         const standin_server::reply& reply)
                                  { handle(request, reply); })
{
}

backend_standin::~backend_standin()
{
    // The streams of the engine hold timers of the server's context, which
    // must outlive them, and the server's thread must no longer use them.
    server_.stop();
    engine_.reset();
}

void backend_standin::add_faults(const std::vector<backend_fault>& faults)
{
    const std::lock_guard lock(mutex_);
    faults_.insert(faults_.end(), faults.begin(), faults.end());
}

void backend_standin::clear_faults()
{
    const std::lock_guard lock(mutex_);
    faults_.clear();
    break_after_head_ = false;
}

void backend_standin::set_engine(const batching_engine_settings& settings)
{
    const std::lock_guard lock(mutex_);
    engine_ = std::make_unique<batching_engine>(settings, server_);
}

void backend_standin::set_stream(unsigned events, milliseconds pause)
{
    const std::lock_guard lock(mutex_);
    stream_events_ = events;
    stream_pause_ = pause;
}

void backend_standin::silence_next_stream(unsigned after_events,
                                          milliseconds time)
{
    const std::lock_guard lock(mutex_);
    silent_after_ = after_events;
    silence_ = time;
}

void backend_standin::set_crashing_part(const std::string& part,
                                        unsigned events)
{
    const std::lock_guard lock(mutex_);
    crashing_part_ = part;
    events_before_crash_ = events;
}

void backend_standin::crash()
{
    server_.post([this] { end_all_connections(false); });
    bench::wait_until([this] { return crashed(); });
}

void backend_standin::recover()
{
    server_.set_unreachable(false);
    crashed_ = false;
}

std::vector<boot_clock::time_point> backend_standin::crash_times() const
{
    const std::lock_guard lock(mutex_);
    return crash_times_;
}

std::vector<received_request>
backend_standin::received_with_part(const std::string& part) const
{
    auto result = received();
    std::erase_if(result,
                  [&part](const received_request& record)
                  {
                      const auto prompt =
                          record.headers.find("x-prompt-prefix");
                      return prompt == record.headers.end() ||
                             !has_part(prompt->second, part);
                  });
    return result;
}

std::vector<boot_clock::time_point> backend_standin::part_crash_times() const
{
    const std::lock_guard lock(mutex_);
    return part_crash_times_;
}

void backend_standin::end_all_connections(bool by_part)
{
    const std::lock_guard lock(mutex_);
    if (!crashed_)
    {
        server_.crash();
        crash_times_.push_back(boot_clock::now());
        if (by_part)
        {
            part_crash_times_.push_back(crash_times_.back());
        }
        crashed_ = true;
    }
}

void backend_standin::set_notice(const std::string& header)
{
    const std::lock_guard lock(mutex_);
    notice_ = header;
}

std::vector<received_request> backend_standin::received() const
{
    const std::lock_guard lock(mutex_);
    return received_;
}

std::size_t backend_standin::run_count(const std::string& request_id) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(received_.begin(), received_.end(),
                      [&request_id](const received_request& record)
                      { return record.id == request_id && record.ran; }));
}

void backend_standin::handle(const text_request& request,
                             const standin_server::reply& reply)
{
    const std::lock_guard lock(mutex_);
    received_request record;
    record.id = std::string(request["X-Attempt-Id"]);
    record.target = std::string(request.target());
    record.body = request.body();
    record.at = boot_clock::now();
    for (const auto& field : request)
    {
        std::string name(field.name_string());
        absl::AsciiStrToLower(&name);
        record.headers[name] = std::string(field.value());
    }
    const auto fault = next_fault();
    const bool expected = request["X-Expect-Instance"] == id_;
    record.ran = expected && !proves_not_run(fault);
    received_.push_back(record);
    if (!expected)
    {
        reply(scripted_answer::of(421, "",
                                  {"X-Instance-Id: " + id_, "X-Not-Executed: 1",
                                   "X-Attempt-Id: " + record.id}));
        return;
    }
    if (record.ran &&
        has_part(std::string(request["X-Prompt-Prefix"]), crashing_part_))
    {
        server_.post([this] { end_all_connections(true); }, crash_delay);
        scripted_answer script;
        script.parts.push_back({stream_head(record.id), {}});
        for (unsigned event = 1; event <= events_before_crash_; ++event)
        {
            script.parts.push_back({stream_bytes(event_text(event)), {}});
        }
        script.end = answer_end::unresponsive;
        reply(std::move(script));
        return;
    }
    if (engine_ && fault == backend_fault::none)
    {
        auto script = engine_->start(request, stream_head(record.id));
        received_.back().ran = script.has_value();
        reply(script ? std::move(*script)
                     : answer(request, backend_fault::shed));
        return;
    }
    auto script = stream_events_ > 0 && fault == backend_fault::none
                      ? stream(request)
                      : answer(request, fault);
    const milliseconds delay(delay_ms_.load());
    if (delay > milliseconds(0) && !script.parts.empty())
    {
        script.parts.front().pause += delay;
    }
    reply(std::move(script));
}

void backend_standin::add_endless(scripted_answer& answer,
                                  const std::string& filler)
{
    constexpr std::size_t part_bytes = 1024 * 1024;
    constexpr std::size_t parts = 64;
    std::string part;
    while (part.size() < part_bytes)
    {
        part += filler;
    }
    answer.parts.insert(answer.parts.end(), parts, {part, {}});
    answer.end = answer_end::unresponsive;
}

void backend_standin::make_endless(scripted_answer& answer, backend_fault fault,
                                   const std::string& head,
                                   const std::string& unframed)
{
    switch (fault)
    {
    case backend_fault::endless_head:
        answer.parts.front().bytes = "HTTP/1.1 200 OK\r\n";
        add_endless(answer, "X-Filler: 0123456789\r\n");
        break;
    case backend_fault::endless_body:
        answer.parts.front().bytes = unframed;
        add_endless(answer, "filler ");
        break;
    case backend_fault::endless_event:
        answer.parts.front().bytes = head;
        add_endless(answer, encode_chunk("data: filler"));
        break;
    case backend_fault::endless_chunk:
        answer.parts.front().bytes = head + "5;";
        add_endless(answer, "filler=");
        break;
    default:
        break;
    }
}

scripted_answer backend_standin::answer(const text_request& request,
                                        backend_fault fault)
{
    const std::string id(request["X-Attempt-Id"]);
    const auto body = answer_body(id_, id);
    const auto headers = answer_headers(id);
    if (proves_not_run(fault))
    {
        return refusal_of(fault, id, headers);
    }
    auto complete = scripted_answer::of(200, body, headers);
    std::string& bytes = complete.parts.front().bytes;
    std::string unframed = "HTTP/1.1 200 OK\r\n";
    for (const auto& header : headers)
    {
        unframed += header + "\r\n";
    }
    unframed += "\r\n" + body;
    switch (fault)
    {
    case backend_fault::none:
        break;
    case backend_fault::failure:
        return scripted_answer::of(500, "failed", headers);
    case backend_fault::failure_unframed:
        bytes = "HTTP/1.1 500 Failed" + unframed.substr(unframed.find('\r'));
        complete.end = answer_end::closed;
        break;
    case backend_fault::no_content:
        return scripted_answer::of(204, "", headers);
    case backend_fault::cut_head:
        bytes.resize(bytes.find("\r\n") + 6);
        complete.end = answer_end::closed;
        break;
    case backend_fault::unproven_refusal:
        return scripted_answer::of(503, "busy", {"X-Attempt-Id: " + id});
    case backend_fault::answer_lost:
        bytes.clear();
        complete.end = answer_end::reset;
        break;
    case backend_fault::truncated:
        bytes.resize(bytes.size() - 5);
        complete.end = answer_end::closed;
        break;
    case backend_fault::unsigned_success:
        return scripted_answer::of(200, body, {"X-Attempt-Id: " + id});
    case backend_fault::foreign_answer:
        bytes = scripted_answer::of(200, "not yours", answer_headers("other"))
                    .parts.front()
                    .bytes +
                bytes;
        break;
    case backend_fault::extra_answer:
        bytes += bytes;
        break;
    case backend_fault::unframed:
    case backend_fault::unframed_reset:
        bytes = unframed;
        complete.end = fault == backend_fault::unframed ? answer_end::closed
                                                        : answer_end::reset;
        break;
    case backend_fault::hang:
        bytes.clear();
        complete.end = answer_end::unresponsive;
        break;
    case backend_fault::trickling_event:
        complete.parts = {{stream_head(id), {}},
                          {encode_chunk(event_text(1)), {}}};
        complete.parts.resize(60, {encode_chunk("i"), milliseconds(100)});
        complete.end = answer_end::unresponsive;
        break;
    case backend_fault::event_closed:
    case backend_fault::event_reset:
    case backend_fault::event_ended:
    case backend_fault::event_silent:
        return torn_event(id, fault);
    default:
        make_endless(complete, fault, stream_head(id), unframed);
        break;
    }
    return complete;
}

scripted_answer backend_standin::torn_event(const std::string& request,
                                            backend_fault fault) const
{
    std::string event = event_text(1);
    event.pop_back();
    scripted_answer script;
    script.parts.push_back({stream_head(request), {}});
    script.parts.push_back({stream_bytes(event), {}});
    script.parts.push_back({"", milliseconds(100)});
    switch (fault)
    {
    case backend_fault::event_reset:
        script.end = answer_end::reset;
        break;
    case backend_fault::event_ended:
        script.parts.back().bytes = "0\r\n\r\n";
        break;
    case backend_fault::event_silent:
        script.end = answer_end::unresponsive;
        break;
    default:
        script.end = answer_end::closed;
        break;
    }
    return script;
}

scripted_answer backend_standin::stream(const text_request& request)
{
    const std::string id(request["X-Attempt-Id"]);
    const std::string last(request["Last-Event-Id"]);
    const unsigned first =
        last.empty() ? 1 : static_cast<unsigned>(std::stoul(last)) + 1;
    scripted_answer script;
    script.parts.push_back({stream_head(id), {}});
    if (break_after_head_.exchange(false))
    {
        script.parts.push_back({"", milliseconds(300)});
        script.end = answer_end::closed;
        return script;
    }
    const unsigned stop_after = break_after_.exchange(0);
    const auto silence = std::exchange(silence_, milliseconds(0));
    for (unsigned number = first; number <= stream_events_; ++number)
    {
        const bool silent = number - first == silent_after_;
        script.parts.push_back(
            {stream_bytes(event_text(number)),
             stream_pause_ + (silent ? silence : milliseconds(0))});
        if (stop_after > 0 && number - first + 1 == stop_after)
        {
            const std::string start = "id: 99\nda";
            script.parts.push_back(
                {unframed_streams_ ? start : "10\r\n" + start, {}});
            script.end = answer_end::closed;
            return script;
        }
    }
    if (unframed_streams_)
    {
        script.end = answer_end::closed;
    }
    else
    {
        script.parts.push_back({"0\r\n\r\n", {}});
    }
    return script;
}

std::string backend_standin::stream_bytes(const std::string& text) const
{
    return unframed_streams_ ? text : encode_chunk(text);
}

std::string backend_standin::stream_head(const std::string& request) const
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    head += unframed_streams_ ? "" : "Transfer-Encoding: chunked\r\n";
    for (const auto& header : answer_headers(request))
    {
        head += header + "\r\n";
    }
    return head + "\r\n";
}

std::vector<std::string>
backend_standin::answer_headers(const std::string& request) const
{
    std::vector<std::string> headers{"X-Attempt-Id: " + request,
                                     "X-Response-Seal: seal-" + id_,
                                     "X-Instance-Id: " + id_};
    if (!notice_.empty())
    {
        headers.push_back(notice_);
    }
    return headers;
}

backend_fault backend_standin::next_fault()
{
    if (faults_.empty())
    {
        return backend_fault::none;
    }
    const auto fault = faults_.front();
    faults_.pop_front();
    return fault;
}

} // namespace mangolink::test
