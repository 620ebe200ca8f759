#include <hornbeamweir/daemon/entry_daemon.hpp>
#include <hornbeamweir/daemon/run_daemon.hpp>

int main(int argc, char const** argv)
{
    return static_cast<int>(hornbeamweir::run_daemon<
                            hornbeamweir::entry_daemon,
                            hornbeamweir::entry_settings>(
        argc, argv, "hornbeamweir-entry", hornbeamweir::read_entry_settings));
}
