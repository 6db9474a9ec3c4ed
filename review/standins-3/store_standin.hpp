#pragma once

#include <memory>
#include <string>

namespace mangolink::test
{
class store_standin;
}

namespace review
{

/// The project's stand-in for the store of the platform.
class platform_store final
{
public:
    platform_store();
    ~platform_store();

    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::string address() const;

private:
    std::unique_ptr<mangolink::test::store_standin> store_;
};

} // namespace review
