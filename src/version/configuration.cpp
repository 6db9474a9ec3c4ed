#include "version/configuration.hpp"

#include "version/configuration_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangolink
{
namespace
{

template <class Entries, class Index>
auto find_entry(const Entries& entries, const Index& index,
                std::string_view name) -> const typename Entries::value_type*
{
    const auto found = index.find(std::string(name));
    return found == index.end() ? nullptr : &entries[found->second];
}

} // namespace

bool pipeline::allows(std::string_view customer) const
{
    return customers.empty() ||
           std::binary_search(customers.begin(), customers.end(), customer);
}

std::shared_ptr<const configuration>
configuration::parse(const nlohmann::json& value,
                     configuration_position position)
{
    return configuration_parser(position).parse(value);
}

const pipeline* configuration::find_pipeline(std::string_view name) const
{
    return find_entry(pipelines_, pipeline_index_, name);
}

const customer* configuration::find_customer(std::string_view name) const
{
    return find_entry(customers_, customer_index_, name);
}

const served_model* configuration::find_model(std::string_view name) const
{
    const auto found = std::find_if(models_.begin(), models_.end(),
                                    [name](const served_model& model)
                                    { return model.name == name; });
    return found == models_.end() ? nullptr : &*found;
}

const server_pool* configuration::find_pool(std::string_view name) const
{
    return find_entry(pools_, pool_index_, name);
}

} // namespace mangolink
