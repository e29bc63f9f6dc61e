#pragma once

namespace azurepaddle::registry {

struct EndpointRecord;
struct EndpointHeartbeat;
class Directory;
class StateMachine;
class Suspects;
class SuspectReporter;

}
