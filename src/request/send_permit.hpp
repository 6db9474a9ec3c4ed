#pragma once

#include <functional>
#include <utility>

namespace mangolink
{

/// Permission to send one request to a server. Whoever holds it decides by
/// use() that the request is sent; otherwise it is given back at the end of its
/// life. Movable, not copyable; used by one thread.
class send_permit final
{
public:
    /// `give_back` is called unless the permit is used; may be null.
    explicit send_permit(std::function<void()> give_back)
        : give_back_(std::move(give_back))
    {
    }

    /// Returns the permit of a destination without limits, such as a peer.
    static send_permit unlimited() { return send_permit(nullptr); }

    send_permit(send_permit&& other) noexcept
        : give_back_(std::exchange(other.give_back_, nullptr))
    {
    }
    send_permit& operator=(send_permit&& other) noexcept
    {
        std::swap(give_back_, other.give_back_);
        return *this;
    }
    send_permit(const send_permit&) = delete;
    send_permit& operator=(const send_permit&) = delete;

    ~send_permit()
    {
        if (give_back_)
        {
            give_back_();
        }
    }

    /// Uses the permit up.
    void use() { give_back_ = nullptr; }

private:
    std::function<void()> give_back_;
};

} // namespace mangolink
