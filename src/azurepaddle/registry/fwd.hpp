#pragma once

namespace azurepaddle::registry {

struct EndpointRecord;
struct EndpointHeartbeat;
class Directory;
class DirectoryProgress;
class EntryFinder;
class EntryList;
class StateMachine;
struct StreamOrigin;
class StreamRecorder;
class Streams;
class Suspects;
class SuspectReporter;

}
