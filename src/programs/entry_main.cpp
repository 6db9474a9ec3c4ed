#include "base/server_program.hpp"
#include "connection/entry_server.hpp"

#include <curl/curl.h>

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const mangolink::program_info program{
        "mangolink-entry",
        "Answers callers and routes their requests to agents.",
        MANGOLINK_VERSION};
    return mangolink::run_server_program<mangolink::entry_settings,
                                         mangolink::entry_server>(argc, argv,
                                                                  program);
}
