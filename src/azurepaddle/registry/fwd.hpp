#pragma once

namespace azurepaddle::registry {

struct EndpointRecord;
struct EndpointBeat;
class Directory;
class StateMachine;
class Suspects;
class SuspectReporter;

}
