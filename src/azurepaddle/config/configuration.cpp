#include "azurepaddle/config/configuration.hpp"

#include "azurepaddle/config/configuration_table.hpp"
#include "azurepaddle/core/digest.hpp"

namespace azurepaddle::config {

namespace {

    using namespace internal;

    template <typename Map, typename Name>
    const typename Map::mapped_type* find(const Map& map, const Name& name)
    {
        const auto found = map.find(name);
        return found == map.end() ? nullptr : &found->second;
    }

    template <typename Map, typename KeyType>
    void writeSections(std::string_view kind, const Map& map, std::span<const KeyType> keys, std::string& text)
    {
        for (const auto& [name, object] : map)
            text += "\n" + writeSection(fmt::format("{} {}", kind, name), keys, object);
    }

    template <typename Object>
    void diffKeys(std::string_view title, std::span<const Key<Object>> keys, const Object& before, const Object& after, std::vector<std::string>& lines)
    {
        for (const Key<Object>& key : keys) {
            const std::string old = formatMember(key, before);
            const std::string changed = formatMember(key, after);
            if (old != changed)
                lines.push_back(fmt::format("[{}] {}: {} -> {}", title, key.name, old.empty() ? "none" : old, changed.empty() ? "none" : changed));
        }
    }

    template <typename Map, typename KeyType>
    void diffSections(std::string_view kind, const Map& before, const Map& after, std::span<const KeyType> keys, std::vector<std::string>& lines)
    {
        for (const auto& [name, object] : before) {
            if (!after.contains(name))
                lines.push_back(fmt::format("- [{} {}]", kind, name));
        }
        for (const auto& [name, object] : after) {
            const std::string title = fmt::format("{} {}", kind, name);
            const auto* old = find(before, name);
            if (!old)
                lines.push_back(fmt::format("+ [{}]", title));
            else
                diffKeys(title, keys, *old, object, lines);
        }
    }

}

Configuration::Configuration(Sections sections)
    : m_sections(std::move(sections))
{
    for (const auto& [name, tenant] : m_sections.tenants) {
        for (const std::string& digest : tenant.tokenSha256)
            m_tenantsByToken.emplace(digest, name);
    }
}

const TenantConfiguration* Configuration::tenant(const TenantName& name) const
{
    return find(m_sections.tenants, name);
}

const ServiceConfiguration* Configuration::service(const ServiceName& name) const
{
    return find(m_sections.services, name);
}

const RunConfiguration* Configuration::run(const RunName& name) const
{
    return find(m_sections.runs, name);
}

const TenantName* Configuration::tenantByTokenDigest(const std::string& digest) const
{
    return find(m_tenantsByToken, digest);
}

std::string Configuration::canonicalText() const
{
    std::string text = writeSection("configuration", numberKeys(), m_sections);
    text += "\n" + writeSection("defaults", defaultsKeys(), m_sections.defaults);
    writeSections("tenant", m_sections.tenants, tenantKeys(), text);
    writeSections("service", m_sections.services, serviceKeys(), text);
    writeSections("run", m_sections.runs, runKeys(), text);
    return text;
}

std::string Configuration::digest() const
{
    return sha256Hex(canonicalText());
}

std::vector<std::string> diff(const Configuration& before, const Configuration& after)
{
    std::vector<std::string> lines;
    if (before.number() != after.number())
        lines.push_back(fmt::format("[configuration] number: {} -> {}", before.number(), after.number()));
    diffKeys("defaults", defaultsKeys(), before.defaults(), after.defaults(), lines);
    diffSections("tenant", before.tenants(), after.tenants(), tenantKeys(), lines);
    diffSections("service", before.services(), after.services(), serviceKeys(), lines);
    diffSections("run", before.runs(), after.runs(), runKeys(), lines);
    return lines;
}

}
