#include "version/configuration_store.hpp"

#include "base/hash.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_error.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_retained_bytes = 512 * 1024;

accept_result refuse(result_code code, std::string reason)
{
    return {code, false, std::move(reason)};
}

configuration_position position_of(std::uint64_t number, const json& value)
{
    return {number, stable_hash(value.dump(), number)};
}

} // namespace

configuration_store::configuration_store(audit_trail& trail) : trail_(trail)
{
}

std::shared_ptr<const configuration> configuration_store::current() const
{
    return current_.load();
}

configuration_position configuration_store::position() const
{
    const auto latest = current();
    return latest ? latest->position() : configuration_position{};
}

accept_result configuration_store::accept_patch(std::string_view document)
{
    candidate next = evaluate_patch(document);
    accept_result result = next.result;
    if (is_applied(next.canonical))
    {
        return {result_code::complete, false, {}};
    }
    if (result.code != result_code::complete)
    {
        trail_.record({"patch_refused", position(), "", result.reason});
        return result;
    }
    retain_patch(next.parsed->position().number, next.canonical);
    install(std::move(next));
    return result;
}

accept_result configuration_store::accept_snapshot(std::string_view document)
{
    candidate next;
    try
    {
        const json parsed = json::parse(document);
        const auto number = parsed.at("number").get<std::uint64_t>();
        if (number <= position().number)
        {
            return refuse(result_code::outdated_base,
                          "number " + std::to_string(number) + " is not newer");
        }
        next.value = parsed.at("value");
        next.parsed =
            configuration::parse(next.value, position_of(number, next.value));
    }
    catch (const std::exception& error)
    {
        trail_.record({"value_refused", position(), "", error.what()});
        return refuse(result_code::bad_patch, error.what());
    }
    patches_.clear();
    retained_bytes_ = 0;
    install(std::move(next));
    return {result_code::complete, true, {}};
}

accept_result configuration_store::check_patch(std::string_view document) const
{
    return evaluate_patch(document).result;
}

bool configuration_store::is_behind(const configuration_position& peer)
{
    const configuration_position own = position();
    const bool conflicting = peer.number != 0 && peer.number == own.number &&
                             peer.digest != own.digest;
    if (conflicting && !(conflict_ == peer))
    {
        conflict_ = peer;
        trail_.record({"digest_conflict", peer, "",
                       "a peer holds another value of this number"});
    }
    return peer.number > own.number;
}

configuration_update
configuration_store::updates_after(std::uint64_t number) const
{
    configuration_update update;
    if (number >= position().number)
    {
        return update;
    }
    if (patches_.empty() || patches_.front().number > number + 1)
    {
        update.snapshot = snapshot_document();
        return update;
    }
    for (const auto& patch : patches_)
    {
        if (patch.number > number)
        {
            update.patches.push_back(patch.document);
        }
    }
    return update;
}

std::string configuration_store::snapshot_document() const
{
    return json{{"number", position().number}, {"value", value_}}.dump();
}

configuration_store::candidate
configuration_store::evaluate_patch(std::string_view document) const
{
    candidate next;
    try
    {
        const json parsed = json::parse(document);
        next.canonical = parsed.dump();
        const auto base = parsed.at("base").get<std::uint64_t>();
        const auto number = parsed.at("number").get<std::uint64_t>();
        next.author = parsed.value("author", "");
        if (base != position().number)
        {
            next.result = refuse(result_code::outdated_base,
                                 "base " + std::to_string(base) + ", now " +
                                     std::to_string(position().number));
            return next;
        }
        if (number != base + 1)
        {
            next.result = refuse(result_code::bad_patch,
                                 "number must be one more than base");
            return next;
        }
        next.value = value_.patch(parsed.at("changes"));
        next.parsed =
            configuration::parse(next.value, position_of(number, next.value));
        next.result = {result_code::complete, true, {}};
    }
    catch (const std::exception& error)
    {
        next.result = refuse(result_code::bad_patch, error.what());
    }
    return next;
}

bool configuration_store::is_applied(const std::string& canonical) const
{
    return std::any_of(patches_.begin(), patches_.end(),
                       [&](const retained_patch& entry)
                       { return entry.document == canonical; });
}

void configuration_store::retain_patch(std::uint64_t number,
                                       std::string_view document)
{
    patches_.push_back({number, std::string(document)});
    retained_bytes_ += document.size();
    while (retained_bytes_ > max_retained_bytes)
    {
        retained_bytes_ -= patches_.front().document.size();
        patches_.pop_front();
    }
}

void configuration_store::install(candidate accepted)
{
    value_ = std::move(accepted.value);
    trail_.record({"configuration_accepted", accepted.parsed->position(),
                   accepted.author, ""});
    current_.store(std::move(accepted.parsed));
}

} // namespace mangolink
