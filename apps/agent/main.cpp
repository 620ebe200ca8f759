#include <hornbeamweir/daemon/agent_daemon.hpp>
#include <hornbeamweir/daemon/run_daemon.hpp>

int main(int argc, char const** argv)
{
    return static_cast<int>(hornbeamweir::run_daemon<
                            hornbeamweir::agent_daemon,
                            hornbeamweir::agent_settings>(
        argc, argv, "hornbeamweir-agent", hornbeamweir::read_agent_settings));
}
