#include "base/instance_settings.hpp"

#include "base/settings_reader.hpp"

#include <algorithm>
#include <iterator>

namespace mangolink
{
namespace
{

const std::vector<std::string> level_names{"error", "warning", "notice",
                                           "detail"};

} // namespace

log_level read_log_level(settings_reader& reader, std::string_view key)
{
    const std::string name = reader.choice(key, "notice", level_names);
    const auto found = std::find(level_names.begin(), level_names.end(), name);
    return found == level_names.end()
               ? log_level::notice
               : static_cast<log_level>(found - level_names.begin());
}

instance_settings instance_settings::read(settings_reader& reader)
{
    using std::chrono::hours;
    instance_settings result;
    result.name = reader.required_text("instance.name");
    result.zone = reader.required_text("instance.zone");
    result.region = reader.required_text("instance.region");
    result.level = read_log_level(reader, "instance.log_level");
    result.admin_address = reader.required_address("instance.admin_address");
    result.admin_key = reader.required_text("instance.admin_key");
    result.drain_limit = reader.duration(
        "instance.drain_limit", result.drain_limit, milliseconds(0), hours(1));
    result.configuration_service =
        reader.optional_address("platform.configuration_service");
    result.instance_list = reader.optional_address("platform.instance_list");
    return result;
}

} // namespace mangolink
