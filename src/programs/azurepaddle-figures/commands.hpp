#pragma once

namespace azurepaddle::figures {

/// Prints bytes per claim, sample and group, and the time to apply, snapshot and restore, against the number of records.
int runControlFigures(int argc, char** argv);

}

/// Prints the bytes, messages and processor time that membership and endpoint directories cost per node, against the
/// number of members and endpoints. Returns the exit status of the program.
[[nodiscard]] int runMembershipFigures(int argc, char** argv);
