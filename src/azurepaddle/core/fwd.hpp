#pragma once

namespace azurepaddle {

class ManualClock;
class Random;
class SystemClock;
struct InstanceAddress;
enum class Outcome : unsigned char;
template <typename Code>
class LayerError;
template <typename Tag>
class Identifier;

}
