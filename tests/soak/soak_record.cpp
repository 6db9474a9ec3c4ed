#include "soak/soak_record.hpp"

namespace mangolink::test
{

void soak_record::take(const std::optional<text_response>& answer,
                       const std::string& partial)
{
    constexpr std::string_view seal = "seal-";
    if (!answer)
    {
        body = partial;
        return;
    }
    status = answer->result_int();
    body = answer->body();
    come_back = answer->count(http::field::retry_after) == 1;
    const std::string signature((*answer)["X-Response-Seal"]);
    signer =
        signature.starts_with(seal) ? signature.substr(seal.size()) : signature;
}

} // namespace mangolink::test
