#pragma once

namespace azurepaddle::batch {

struct ItemSpec;
struct JobSpec;
struct ItemResult;
struct RewardCall;
class TextStore;
class JobStore;

}
