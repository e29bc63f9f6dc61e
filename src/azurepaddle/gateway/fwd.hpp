#pragma once

namespace azurepaddle::gateway {

struct Route;
class RouteTable;
class AnswerBudget;
class Balancer;
class ForwardCall;
template <typename Protocol>
class Forwarder;

}
