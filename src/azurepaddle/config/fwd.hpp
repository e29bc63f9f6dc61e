#pragma once

namespace azurepaddle::config {

class Configuration;
class Settings;
struct Problem;
struct RunConfiguration;
struct ServiceConfiguration;
struct TenantConfiguration;

}
