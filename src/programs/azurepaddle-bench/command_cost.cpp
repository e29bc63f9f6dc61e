#include "azurepaddle/admission/controller.hpp"
#include "azurepaddle/routing/router.hpp"
#include "commands.hpp"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations { 0 };

}

// Counts the allocations of a decision.
void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace azurepaddle::bench {

namespace {

    constexpr int repetitions = 20000;

    struct Cost {
        double microseconds = 0;
        double allocations = 0;
    };

    template <typename Action>
    Cost measure(int count, const Action& action)
    {
        const std::uint64_t allocated = allocations.load();
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i)
            action(i);
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        return { 1e6 * seconds / count, static_cast<double>(allocations.load() - allocated) / count };
    }

    void print(std::string_view what, std::size_t size, const Cost& cost)
    {
        fmt::print("{:<44}{:>8}{:>12.3f}{:>14.1f}\n", what, size, cost.microseconds, cost.allocations);
    }

    void measureRouting(std::size_t endpoints)
    {
        ManualClock clock;
        routing::Router<ManualClock, Random> router(clock, Random(1), DataCentreName("d0"));
        routing::EndpointView view;
        view.service = ServiceName("models");
        view.slots = 16;
        const auto viewOf = [&](std::size_t i) {
            view.id = EndpointId("endpoint-" + std::to_string(i));
            view.reportTime = clock.now();
            return view;
        };
        for (std::size_t i = 0; i < endpoints; ++i)
            router.update(viewOf(i));
        routing::RequestProfile profile;
        profile.service = view.service;
        profile.prefixes = { 1, 2, 3, 4 };
        profile.tokensPerPrefix = 256;
        profile.promptTokens = 1000;
        profile.outputTokens = 60;
        print("choose among endpoints", endpoints, measure(repetitions, [&](int) { (void)router.choose(profile); }));
        print("choose, sent, 20 tokens, finished", endpoints, measure(repetitions, [&](int) {
            const auto endpoint = router.choose(profile);
            const auto attempt = router.onSent(profile, *endpoint);
            for (int token = 0; token < 20; ++token) {
                clock.advance(std::chrono::milliseconds(1));
                router.onToken(attempt);
            }
            router.onFinished(attempt);
        }));
        print("update of one endpoint", endpoints, measure(repetitions, [&](int i) { router.update(viewOf(static_cast<std::size_t>(i) % endpoints)); }));
        print("tick", endpoints, measure(20, [&](int) { (void)router.tick(); }));
    }

    void measureAdmission(std::size_t tenants, std::size_t queued)
    {
        ManualClock clock;
        admission::AdmissionSettings settings;
        settings.defaultPolicy.maxQueued = 1000000;
        admission::AdmissionController controller(clock, settings);
        admission::RequestProfile profile;
        profile.service = ServiceName("models");
        profile.promptTokens = 300;
        profile.maxTokens = 100;
        std::vector<TenantName> names;
        for (std::size_t i = 0; i < tenants; ++i)
            names.emplace_back("tenant-" + std::to_string(i));
        std::size_t next = 0;
        const auto admit = [&] {
            profile.tenant = names[next++ % tenants];
            return controller.admit(profile);
        };
        for (std::size_t i = 0; i < queued; ++i)
            (void)admit();
        const auto what = fmt::format("admit and next, {} queued, tenants", queued);
        print(what, tenants, measure(repetitions, [&](int) {
            (void)admit();
            (void)controller.next(profile.service);
        }));
    }

}

int costCommand()
{
    fmt::print("{:<44}{:>8}{:>12}{:>14}\n", "decision", "size", "us", "allocations");
    for (const std::size_t endpoints : { 4U, 12U, 64U, 512U, 11000U })
        measureRouting(endpoints);
    for (const std::size_t tenants : { 1U, 10U, 100U, 1000U, 10000U }) {
        measureAdmission(tenants, 0);
        measureAdmission(tenants, 10000);
    }
    return 0;
}

}
