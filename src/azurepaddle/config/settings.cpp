#include "azurepaddle/config/settings.hpp"

#include "azurepaddle/config/settings_table.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace azurepaddle::config {

namespace {

    using internal::IniSection;

    SeedAddress toSeed(const std::string& text)
    {
        const std::size_t equal = text.find('=');
        const std::size_t colon = text.rfind(':');
        const int port = std::stoi(text.substr(colon + 1));
        return { text.substr(0, equal), text.substr(equal + 1, colon - equal - 1), static_cast<std::uint16_t>(port) };
    }

    bool contains(const std::vector<std::string>& list, std::string_view element)
    {
        return std::find(list.begin(), list.end(), element) != list.end();
    }

    /// Reports contradictions between keys that are valid on their own.
    class SettingsCheck {
    public:
        SettingsCheck(const Settings::Sections& sections, std::string_view file, Problems& problems)
            : m_sections(sections)
            , m_file(file)
            , m_problems(problems)
        {
        }

        void run()
        {
            checkRoles();
            checkSeeds();
            checkSecrets();
            checkCertificates();
            checkTiming();
            checkLimits();
        }

    private:
        void checkRoles()
        {
            const InstanceSettings& instance = m_sections.instance;
            const bool votes = contains(m_sections.peer.voters, instance.name);
            if (instance.roles.empty())
                report("instance", "roles", "names no role");
            if (contains(instance.roles, "control") && instance.dataFolder.empty())
                report("instance", "data_folder", "required for the role control");
            if (votes && !contains(instance.roles, "control"))
                report("peer", "voters", "names this instance, which does not have the role control");
        }

        void checkSeeds()
        {
            std::set<std::string> names;
            for (const std::string& text : m_sections.peer.seeds) {
                if (!names.insert(toSeed(text).name).second)
                    report("peer", "seeds", fmt::format("names {} twice", toSeed(text).name));
            }
            std::set<std::string> voters;
            for (const std::string& voter : m_sections.peer.voters) {
                if (!voters.insert(voter).second)
                    report("peer", "voters", fmt::format("names {} twice", voter));
                if (voter != m_sections.instance.name && !names.contains(voter))
                    report("peer", "voters", fmt::format("names {}, which is not among the seeds", voter));
            }
            if (!voters.empty() && voters.size() % 2 == 0)
                report("peer", "voters", fmt::format("names {} voters; an even number tolerates no more losses than one voter fewer", voters.size()));
        }

        void checkSecrets()
        {
            const SecretSettings& secrets = m_sections.secrets;
            const PeerSettings& peer = m_sections.peer;
            checkSecret("secrets", "endpoint", secrets.endpoint, secrets.endpointFile);
            checkSecret("secrets", "operator", secrets.operators, secrets.operatorsFile);
            const bool peerHasTls = !peer.tlsCertificate.empty() && !peer.tlsAuthority.empty();
            if (peer.secret.empty() && peer.secretFile.empty() && !peerHasTls)
                report("peer", "secret", "neither a secret nor a certificate with authority is given");
            if (!peer.secret.empty() && !peer.secretFile.empty())
                report("peer", "secret", "contradicts secret_file");
        }

        void checkSecret(std::string_view section, std::string_view key, const std::string& value, const std::string& path)
        {
            if (value.empty() && path.empty())
                report(section, key, fmt::format("required, but neither it nor {}_file is given", key));
            if (!value.empty() && !path.empty())
                report(section, key, fmt::format("contradicts {}_file", key));
        }

        void checkCertificates()
        {
            const HttpSettings& http = m_sections.http;
            const PeerSettings& peer = m_sections.peer;
            if (http.tlsCertificate.empty() != http.tlsKey.empty())
                report("http", "tls_key", "certificate and key must be given together");
            if (peer.tlsCertificate.empty() != peer.tlsKey.empty() || peer.tlsCertificate.empty() != peer.tlsAuthority.empty())
                report("peer", "tls_key", "certificate, key and authority must be given together");
            if (http.port == peer.port && http.address == peer.address)
                report("peer", "port", "is also the port of [http]");
        }

        void checkTiming()
        {
            const TimingSettings& timing = m_sections.timing;
            if (timing.raftElection < 3 * timing.raftHeartbeat)
                report("timing", "raft_election", "must be at least three times raft_heartbeat");
            if (timing.orderDeadline >= timing.orderLease)
                report("timing", "order_deadline", "must be shorter than order_lease");
        }

        void checkLimits()
        {
            if (m_sections.peer.maxMessageBytes < m_sections.http.maxBodyBytes)
                report("peer", "max_message", "must be at least max_body of [http]");
            if (m_sections.limits.maxQueuedBytes < m_sections.http.maxBodyBytes)
                report("limits", "max_queued_bytes", "must be at least max_body of [http]");
        }

        void report(std::string_view section, std::string_view key, std::string reason)
        {
            m_problems.push_back({ m_file, std::string(section), std::string(key), std::move(reason) });
        }

        const Settings::Sections& m_sections;
        std::string m_file;
        Problems& m_problems;
    };

    void readSettingsSection(const IniSection& section, std::string_view file, Settings::Sections& sections, Problems& problems)
    {
        using namespace internal;
        if (section.title == "instance")
            readSection(section, instanceKeys(), file, sections.instance, problems);
        else if (section.title == "http")
            readSection(section, httpKeys(), file, sections.http, problems);
        else if (section.title == "peer")
            readSection(section, peerKeys(), file, sections.peer, problems);
        else if (section.title == "secrets")
            readSection(section, secretKeys(), file, sections.secrets, problems);
        else if (section.title == "timing")
            readSection(section, timingKeys(), file, sections.timing, problems);
        else if (section.title == "limits")
            readSection(section, limitKeys(), file, sections.limits, problems);
        else
            problems.push_back({ std::string(file), section.title, {}, "unknown section" });
    }

    tl::expected<Settings::Sections, Problems> readSections(std::string_view text, std::string_view file)
    {
        Problems problems;
        Settings::Sections sections;
        std::vector<IniSection> found = internal::readIni(text, file, problems);
        if (std::none_of(found.begin(), found.end(), [](const IniSection& section) { return section.title == "instance"; }))
            found.push_back({ "instance", "instance", {}, {} });
        for (const IniSection& section : found)
            readSettingsSection(section, file, sections, problems);
        SettingsCheck(sections, file, problems).run();
        if (!problems.empty())
            return tl::unexpected(problems);
        return sections;
    }

    /// Replaces the secret by the first line of its file.
    void readSecretFile(const std::filesystem::path& base, const std::string& path, std::string_view section, std::string_view key, std::string& secret, Problems& problems)
    {
        if (path.empty())
            return;
        std::ifstream stream(base.parent_path() / path);
        std::string line;
        std::getline(stream, line);
        constexpr internal::Constraint form { internal::Form::Secret, 0, 0, {} };
        std::optional<std::string> reason = line.empty() ? std::optional(fmt::format("{} cannot be read or its first line is empty", path)) : internal::readValue(line, form, secret);
        if (reason)
            problems.push_back({ base.string(), std::string(section), std::string(key), *reason });
    }

}

bool Settings::hasRole(std::string_view role) const
{
    return contains(m_sections.instance.roles, role);
}

bool Settings::isVoter() const
{
    return contains(m_sections.peer.voters, m_sections.instance.name);
}

LogLevel Settings::logLevel() const noexcept
{
    const std::string& level = m_sections.instance.logLevel;
    if (level == "debug")
        return LogLevel::Debug;
    if (level == "warning")
        return LogLevel::Warning;
    return level == "error" ? LogLevel::Error : LogLevel::Info;
}

std::vector<SeedAddress> Settings::seeds() const
{
    std::vector<SeedAddress> seeds;
    std::transform(m_sections.peer.seeds.begin(), m_sections.peer.seeds.end(), std::back_inserter(seeds), toSeed);
    return seeds;
}

tl::expected<Settings, Problems> parseSettings(std::string_view text, std::string_view file)
{
    return readSections(text, file).map([](Settings::Sections sections) { return Settings(std::move(sections)); });
}

tl::expected<Settings, Problems> loadSettings(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return tl::unexpected(Problems { { path, {}, {}, "cannot be read" } });
    const std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    auto sections = readSections(text, path);
    if (!sections)
        return tl::unexpected(sections.error());
    Problems problems;
    readSecretFile(path, sections->peer.secretFile, "peer", "secret_file", sections->peer.secret, problems);
    readSecretFile(path, sections->secrets.endpointFile, "secrets", "endpoint_file", sections->secrets.endpoint, problems);
    readSecretFile(path, sections->secrets.operatorsFile, "secrets", "operator_file", sections->secrets.operators, problems);
    if (!problems.empty())
        return tl::unexpected(problems);
    return Settings(std::move(*sections));
}

}
