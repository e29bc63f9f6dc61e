#pragma once

namespace azurepaddle::weights {

class OrderSender;
class RolloutPlanner;
class StoreRateLimiter;
struct EndpointReport;
struct Order;
struct OrderAction;

}
