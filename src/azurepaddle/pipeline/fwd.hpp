#pragma once

namespace azurepaddle::pipeline {

class Connector;
class EndpointCall;
class ServerSentEventReader;
class PipelineError;
enum class AttemptStatus : unsigned char;
enum class PipelineErrorCode : unsigned char;
struct AttemptResult;
struct CallerRequest;
struct EngineEvent;
struct OutgoingRequest;

template <typename T>
class Channel;

}
