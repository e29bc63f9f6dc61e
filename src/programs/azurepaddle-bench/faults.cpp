#include "load.hpp"

namespace azurepaddle::bench {

namespace {

    constexpr double slowdownInterval = 60; // Seconds, mean, per endpoint.
    constexpr double crashInterval = 30;
    constexpr double crashDownSeconds = 8;
    constexpr double silenceInterval = 8;
    constexpr double swapInterval = 40;
    constexpr std::size_t swapWaveSize = 3;
    constexpr double swapWaveInterval = 1.5;
    constexpr double swapFailure = 0.1;
    constexpr double swapRepairSeconds = 6;

}

Faults::Faults(World& world, Load& load)
    : m_world(world)
    , m_load(load)
    , m_random(world.options().seed * 31 + 17)
    , m_modelEngines(world.deployment().services.front().endpoints)
{
}

void Faults::start()
{
    const ScenarioSpec& scenario = m_world.scenario();
    Simulator& simulator = m_world.simulator();
    for (std::size_t i = 0; scenario.hasSlowdowns && i < m_modelEngines; ++i)
        scheduleSlowdown(i);
    if (scenario.hasCrashes)
        simulator.every(fromSeconds(crashInterval), [this] { m_world.crash(m_random.below(m_world.engineCount()), crashDownSeconds); });
    if (scenario.hasSilentConnections)
        simulator.every(fromSeconds(silenceInterval), [this] { m_world.silence(m_random.below(m_world.deployment().instances), m_random.below(m_world.engineCount())); });
    if (scenario.hasSwaps)
        simulator.every(fromSeconds(swapInterval), [this] { startSwap(); });
    // Engines that a request crashed are restarted by the platform.
    simulator.every(fromSeconds(crashDownSeconds), [this] { m_world.restartAll(); });
}

void Faults::scheduleSlowdown(std::size_t engine)
{
    m_world.simulator().after(fromSeconds(m_random.exponential(slowdownInterval)), [this, engine] {
        m_world.setSlow(engine, 4 + 6 * m_random.uniform());
        m_world.simulator().after(fromSeconds(2 + 6 * m_random.uniform()), [this, engine] {
            m_world.setSlow(engine, 1);
            scheduleSlowdown(engine);
        });
    });
}

void Faults::startSwap()
{
    const WeightVersion version = m_load.version() + 1;
    m_load.publish(version);
    swapWave(0, version);
}

void Faults::swapWave(std::size_t first, WeightVersion version)
{
    for (std::size_t i = first; i < std::min(first + swapWaveSize, m_modelEngines); ++i) {
        const double pause = 0.3 + 0.7 * m_random.uniform();
        if (!m_random.chance(swapFailure)) {
            m_world.swap(i, version, pause);
            continue;
        }
        // The swap fails: the endpoint keeps the old version until it is repaired.
        m_world.simulator().after(fromSeconds(swapRepairSeconds), [this, i, version, pause] { m_world.swap(i, version, pause); });
    }
    if (first + swapWaveSize < m_modelEngines)
        m_world.simulator().after(fromSeconds(swapWaveInterval), [this, first, version] { swapWave(first + swapWaveSize, version); });
}

}
