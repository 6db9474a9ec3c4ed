#include "base/deferred_signal.hpp"

#include <pthread.h>

#include <csignal>

namespace mangolink
{
namespace
{

void change_mask(int how, int number)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, number);
    pthread_sigmask(how, &set, nullptr);
}

} // namespace

deferred_signal::deferred_signal(int number) : number_(number)
{
    change_mask(SIG_BLOCK, number_);
}

void deferred_signal::deliver() const
{
    change_mask(SIG_UNBLOCK, number_);
}

} // namespace mangolink
