#include "soak/soak_record.hpp"

namespace mangolink::test
{

void soak_record::set_answer(const std::optional<text_response>& answer,
                             const std::string& partial)
{
    constexpr std::string_view seal_prefix = "seal-";
    constexpr const char* quarantine_retry_after = "600.000";
    if (!answer)
    {
        body = partial;
        return;
    }
    status = answer->result_int();
    body = answer->body();
    has_retry_after = answer->count(http::field::retry_after) == 1;
    quarantined = (*answer)[http::field::retry_after] == quarantine_retry_after;
    const std::string signature((*answer)["X-Response-Seal"]);
    signer = signature.starts_with(seal_prefix)
                 ? signature.substr(seal_prefix.size())
                 : signature;
}

} // namespace mangolink::test
