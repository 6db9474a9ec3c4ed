#include "connection/control_client.hpp"

#include <curl/curl.h>

#include <iostream>

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const mangolink::program_info program{"mangolink-ctl",
                                          "Administers one mangolink process.",
                                          MANGOLINK_VERSION};
    return mangolink::run_control_program(argc, argv, program);
}
