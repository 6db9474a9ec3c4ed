#include "connection/failure_log.hpp"

#include "base/log.hpp"

namespace mangolink
{

void failure_log::operator()(const std::exception_ptr& failure) const
{
    if (!failure)
    {
        return;
    }
    std::string reason = "unknown exception";
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& error)
    {
        reason = error.what();
    }
    catch (...) // the reason stays unknown
    {
    }
    log_error("gateway", "Work ended by an exception.",
              {{"work", work_}, {"reason", reason}});
}

} // namespace mangolink
