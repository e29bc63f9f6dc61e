#pragma once

namespace azurepaddle::gateway {

struct Route;
class RouteTable;
class Balancer;
template <typename Protocol>
class Forwarder;

}
