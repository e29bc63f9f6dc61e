#pragma once

namespace azurepaddle::metrics {

class Counter;
class Gauge;
class LatencyHistogram;
class Registry;
struct HistogramSnapshot;
struct Labels;
struct Snapshot;

}
