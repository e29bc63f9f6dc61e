#pragma once

namespace azurepaddle::batch {

struct ItemSpec;
struct JobSpec;
struct ItemResult;
class JobStore;
class ItemQueue;
class LoadPlanner;

}
