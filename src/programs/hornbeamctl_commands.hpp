#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace hornbeamgate::ctl {

/// Runs hornbeamctl with `arguments` (without the program's name) and returns the exit code.
int runCommand(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& errors);

} // namespace hornbeamgate::ctl
