#include <hornbeamweir/client/operator_command.hpp>

int main(int argc, char const** argv)
{
    return static_cast<int>(hornbeamweir::run_operator_command(argc, argv));
}
