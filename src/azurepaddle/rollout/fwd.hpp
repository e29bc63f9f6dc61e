#pragma once

namespace azurepaddle::rollout {

class RunScheduler;
class SampleBuffer;
struct Attempt;
struct PullReply;
struct PullRequest;
struct RunSettings;
struct SampleBody;

}
