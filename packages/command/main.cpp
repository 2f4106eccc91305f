#include "command/command.h"

#include <iostream>

int main(int argc, const char **argv)
{
    return chervilmount::command::run(argc, argv, {std::cin, std::cout, std::cerr});
}
