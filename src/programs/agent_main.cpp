#include "base/server_program.hpp"
#include "connection/agent_server.hpp"

#include <curl/curl.h>

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const mangolink::program_info program{
        "mangolink-agent", "Dispatches requests to one backend server.",
        MANGOLINK_VERSION};
    return mangolink::run_server_program<mangolink::agent_settings,
                                         mangolink::agent_server>(argc, argv,
                                                                  program);
}
