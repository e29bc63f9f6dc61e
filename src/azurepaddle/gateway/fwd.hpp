#pragma once

namespace azurepaddle::gateway {

struct Route;
class RouteTable;
class AnswerBudget;
class Balancer;
class CrashGuard;
class CrashWatch;
class ForwardCall;
class SendLimiter;
template <typename Protocol>
class Forwarder;
template <typename Protocol>
class StreamForwarder;

}
