#pragma once

#include "azurepaddle/http1/body_budget.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace azurepaddle::http {

/// Bounds the request bodies that the threads of a server hold. Each thread serves one connection at a time and so holds
/// one body. Thread-safe.
class BodyRoom {
public:
    explicit BodyRoom(std::uint64_t maxBytes);

    /// Reserves room for the next body that this thread reads, in place of the one before. False if there is none.
    [[nodiscard]] bool reserve(const std::string& client, std::size_t bytes);
    /// Gives back the room of this thread, after its connection has ended.
    void release();

private:
    std::mutex m_mutex;
    std::shared_ptr<http1::BodyBudget> m_budget;
    std::map<std::thread::id, std::unique_ptr<http1::BodyShare>> m_shares;
};

}
