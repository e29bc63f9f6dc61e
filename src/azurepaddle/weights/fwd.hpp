#pragma once

namespace azurepaddle::weights {

class OrderSender;
class RolloutPlanner;
class StoreLimit;
struct EndpointReport;
struct Order;
struct OrderAction;

}
