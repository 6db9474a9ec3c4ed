#pragma once

#include "base/result_code.hpp"
#include "connection/http_message.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace mangolink
{

class audit_trail;
class configuration_store;

/// Returns an answer with a JSON body.
http_response json_response(const nlohmann::json& body);

/// Returns an answer that carries a result code.
http_response result_code_response(result_code code, const std::string& detail);

/// Returns the text page of the metrics.
http_response metrics_response(std::string body);

/// Returns the kept audit records.
http_response audit_response(const audit_trail& trail);

/// Returns position and value of the configuration in force. The thread that
/// owns the store only.
http_response configuration_response(const configuration_store& store);

/// Checks a patch against the newest number known and returns the document to
/// publish. The thread that owns the store only.
http_response check_patch_response(const configuration_store& store,
                                   const std::string& document);

} // namespace mangolink
