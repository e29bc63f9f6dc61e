#pragma once

namespace azurepaddle::figures {

/// Prints bytes per claim, sample and group, and the time to apply, snapshot and restore, against the number of records.
int runControlFigures(int argc, char** argv);

}
