#pragma once

#include "base/result_code.hpp"
#include "connection/http_message.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace mangolink
{

class audit_trail;
class configuration_store;

/// Returns a response with a JSON body.
http_response json_response(const nlohmann::json& body);

/// Returns a response for a result code.
http_response result_code_response(result_code code, const std::string& detail);

/// Returns a response with metrics in the text exposition format.
http_response metrics_response(std::string body);

/// Returns the retained audit records.
http_response audit_response(const audit_trail& trail);

/// Returns position and value of the configuration in force. Call only on the
/// thread that owns the store.
http_response configuration_response(const configuration_store& store);

/// Validates a patch against the newest known number and returns the document
/// to publish. Call only on the thread that owns the store.
http_response check_patch_response(const configuration_store& store,
                                   const std::string& document);

} // namespace mangolink
