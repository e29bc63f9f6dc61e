#include "azurepaddle/http/body_room.hpp"

#include <criterion/criterion.h>

using namespace azurepaddle::http;

namespace {

/// Calls a function on a thread of its own, as the thread of another connection.
void onOtherThread(const std::function<void()>& function)
{
    std::thread(function).join();
}

}

// Guards against bodies of several connections that together exceed the bound.
Test(BodyRoom, bodiesOfSeveralThreads_beyondTotal_areRefused)
{
    constexpr std::size_t total = 1000 * 1000;
    BodyRoom room(total);
    cr_assert(room.reserve("a", total / 2));
    onOtherThread([&] { cr_assert(!room.reserve("b", total / 2 + 1)); });
    onOtherThread([&] { cr_assert(room.reserve("b", total / 2)); });
}

// Guards against room that stays occupied by the request before on the same connection, or by a connection that ended.
Test(BodyRoom, nextRequestOrEnd_givesRoomBack)
{
    constexpr std::size_t total = 1000 * 1000;
    BodyRoom room(total);
    onOtherThread([&] {
        cr_assert(room.reserve("a", total / 2));
        cr_assert(room.reserve("a", total / 2));
        room.release();
    });
    cr_assert(room.reserve("a", total / 4 * 3));
    onOtherThread([&] { cr_assert(!room.reserve("b", total / 2)); });
    cr_assert(room.reserve("a", 0));
    onOtherThread([&] { cr_assert(room.reserve("b", total / 2)); });
}
