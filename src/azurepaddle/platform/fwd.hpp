#pragma once

namespace azurepaddle::platform {

struct EndpointProtocol;
class CallerApi;
class ControlApi;

}
