#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>
#include <random>

namespace azurepaddle {

/// A source of random numbers for decisions. Not for secrets.
template <typename T>
concept RandomSource = requires(T& random, std::uint64_t bound, double value)
{
    {
        random.next()
        } -> std::same_as<std::uint64_t>;
    {
        random.below(bound)
        } -> std::same_as<std::uint64_t>;
    {
        random.uniform()
        } -> std::same_as<double>;
    {
        random.chance(value)
        } -> std::same_as<bool>;
};

/// A seeded generator: equal seeds give equal sequences. Not thread-safe.
class Random {
public:
    explicit Random(std::uint64_t seed) noexcept
        : m_engine(seed)
    {
    }

    [[nodiscard]] std::uint64_t next() noexcept { return m_engine(); }

    /// A number in [0, bound). The bound must not be 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept { return m_engine() % bound; }

    /// A number in [0, 1).
    [[nodiscard]] double uniform() noexcept { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

    [[nodiscard]] bool chance(double probability) noexcept { return uniform() < probability; }

    /// An exponentially distributed number with this mean.
    [[nodiscard]] double exponential(double mean) noexcept { return -mean * std::log1p(-uniform()); }

private:
    std::mt19937_64 m_engine;
};

static_assert(RandomSource<Random>);

}
