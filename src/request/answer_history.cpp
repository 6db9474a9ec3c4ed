#include "request/answer_history.hpp"

#include "base/hash.hpp"

namespace mangolink
{

bool answer_history::add(const std::vector<std::string>& results)
{
    bool is_new = true;
    for (const auto& result : results)
    {
        is_new = hashes_.insert(stable_hash(result)).second && is_new;
    }
    return is_new;
}

} // namespace mangolink
