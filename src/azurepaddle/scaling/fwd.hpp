#pragma once

namespace azurepaddle::scaling {

struct EndpointGroup;
struct ScaleOrder;
struct ScalingRules;
struct ServiceState;
struct ScalingPlan;
class ScalingHistory;

}
