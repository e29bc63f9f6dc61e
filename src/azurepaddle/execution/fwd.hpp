#pragma once

namespace azurepaddle::execution {

class ItemText;
class SpeedMeter;
template <typename Protocol>
class JobRunner;
template <typename Protocol>
class WeightLoader;

}
