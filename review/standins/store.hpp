#pragma once

#include "http.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

/// Stand-in for the platform's store: ranges and watches, and a return from an
/// older copy. Thread safe.
class store final
{
public:
    store();

    const std::string& address() const { return server_.address(); }

    void put(const std::string& key, const std::string& value);

    /// Copies the contents, the history and the revision.
    void take_copy();

    /// Closes all connections without an answer until come_back().
    void go_away();

    /// Continues from the copy in the next era.
    void come_back();

private:
    struct item final
    {
        std::string value;
        unsigned revision = 0;
        unsigned creation = 0;
    };
    struct change final
    {
        std::string key;
        item written;
    };
    struct contents final
    {
        std::map<std::string, item> items;
        std::vector<change> history;
        unsigned revision = 1;
    };

    bool handle(connection& peer, const message& request);
    bool answer_range(connection& peer, const std::string& prefix,
                      const std::string& after);
    bool answer_watch(connection& peer, const std::string& prefix,
                      unsigned after, milliseconds wait);
    std::string answer(int status, const std::string& body) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    contents current_;
    contents copy_;
    unsigned era_ = 1;
    bool away_ = false;
    server server_; ///< last, as its threads use the other members
};

} // namespace review
