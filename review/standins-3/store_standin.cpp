#include "store_standin.hpp"

#include "standins/store_standin.hpp"

namespace review
{

platform_store::platform_store()
    : store_(std::make_unique<mangolink::test::store_standin>())
{
}

platform_store::~platform_store() = default;

void platform_store::put(const std::string& key, const std::string& value)
{
    store_->put(key, value);
}

void platform_store::remove(const std::string& key)
{
    store_->remove(key);
}

std::string platform_store::address() const
{
    return store_->address();
}

} // namespace review
