#include "connection/prompt_work_message.hpp"

#include "gateway.pb.h"

namespace mangolink
{

void write_prompt_work(const std::vector<server_prompt_work>& work,
                       wire::gateway_heartbeat& heartbeat)
{
    for (const auto& entry : work)
    {
        heartbeat.mutable_prompt_work()->add_servers(entry.server);
        heartbeat.mutable_prompt_work()->add_tokens(entry.tokens);
    }
}

std::vector<server_prompt_work>
read_prompt_work(const wire::gateway_heartbeat& heartbeat)
{
    std::vector<server_prompt_work> result;
    const auto& message = heartbeat.prompt_work();
    if (message.servers_size() != message.tokens_size())
    {
        return result;
    }
    for (int i = 0; i < message.servers_size(); ++i)
    {
        result.push_back({message.servers(i), message.tokens(i)});
    }
    return result;
}

} // namespace mangolink
