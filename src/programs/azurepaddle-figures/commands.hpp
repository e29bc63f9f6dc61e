#pragma once

/// Prints the bytes, messages and processor time that membership and endpoint directories cost per node, against the
/// number of members and endpoints. Returns the exit status of the program.
[[nodiscard]] int runMembershipFigures(int argc, char** argv);
