#pragma once

namespace azurepaddle::transport {

class PeerClient;
class PeerServer;
class TrafficMeter;
class TransportError;
enum class PeerErrorCode : unsigned char;
enum class TransportErrorCode : unsigned char;
struct ClientOptions;
struct PeerError;
struct PeerRequest;
struct ServerOptions;
struct TlsIdentity;

}
