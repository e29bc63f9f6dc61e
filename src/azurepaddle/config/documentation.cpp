#include "azurepaddle/config/documentation.hpp"

#include "azurepaddle/config/configuration_table.hpp"
#include "azurepaddle/config/settings_table.hpp"

namespace azurepaddle::config {

std::string settingsDocumentation()
{
    using namespace internal;
    std::string text = "# Settings\n\nThis page is printed by `azurepaddled --settings`. ";
    text += "Durations need a unit: ms, s, min, h or d. Bytes may have the unit B, KiB, MiB or GiB. ";
    text += "Lists are separated by commas or blanks, and may be continued on indented lines or by repeating the key. ";
    text += "`;` and `#` start a comment. A line has at most 197 bytes.\n\n";
    text += "## Settings of the daemon\n\nRead once at start. See [config.md](config.md).\n\n";
    text += documentSection("instance", instanceKeys());
    text += documentSection("http", httpKeys());
    text += documentSection("peer", peerKeys());
    text += documentSection("secrets", secretKeys());
    text += documentSection("timing", timingKeys());
    text += documentSection("limits", limitKeys());
    text += "## Configuration of the operators\n\nApplied as a whole with `azurepaddle apply`.\n\n";
    text += documentSection("configuration", numberKeys());
    text += documentSection("defaults", defaultsKeys());
    text += documentSection("tenant NAME", tenantKeys());
    text += documentSection("service NAME", serviceKeys());
    text += documentSection("run NAME", runKeys());
    text.pop_back();
    return text;
}

}
