#pragma once

namespace azurepaddle::gateway {

struct Route;
class RouteTable;
class AnswerBudget;
class Balancer;
class CallerStream;
class CrashGuard;
class CrashProbe;
class CrashWatch;
class ForwardCall;
class LinkMonitor;
class LinkProber;
class RelayPeers;
class SendLimiter;
template <typename Protocol>
class Forwarder;
template <typename Protocol>
class RelayForwarder;
template <typename Protocol>
class RelayServer;
template <typename Protocol, typename Sender>
class StreamForwarder;

}
