#include "azurepaddle/core/log.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace azurepaddle {

namespace {

    log4cxx::LevelPtr toLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

}

struct Log::Implementation {
    log4cxx::LoggerPtr logger;
};

void startLogging(LogLevel level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %c %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLevel(level));
}

void startStructuredLogging(LogLevel level)
{
    constexpr int maxQueuedLines = 4096;
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %c %m%n"));
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.out"));
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(queue);
    log4cxx::Logger::getRootLogger()->setLevel(toLevel(level));
}

void stopLogging()
{
    log4cxx::LogManager::shutdown();
}

Log::Log(std::string_view component)
    : m_implementation(std::make_shared<Implementation>(Implementation { log4cxx::Logger::getLogger(std::string(component)) }))
{
}

bool Log::isEnabled(LogLevel level) const
{
    return m_implementation->logger->isEnabledFor(toLevel(level));
}

void Log::writeLine(LogLevel level, const std::string& message) const
{
    m_implementation->logger->forcedLog(toLevel(level), message, LOG4CXX_LOCATION);
}

}
