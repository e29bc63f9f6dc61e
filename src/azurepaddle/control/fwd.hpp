#pragma once

namespace azurepaddle::control {

class Claims;
class Configurations;
class ControlState;
class Instances;
class OrderLeases;
class ReplyCache;
class RunLedger;
class Suspects;
struct ControlCommand;
enum class ControlErrorCode : unsigned char;

}
