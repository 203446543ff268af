#include "hornbeamctl_commands.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return hornbeamgate::ctl::runCommand({ argv + 1, argv + argc }, std::cout, std::cerr);
}
