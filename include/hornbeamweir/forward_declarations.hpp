#pragma once

/// \file
/// \brief Names of the library's main types, without their definitions.

namespace hornbeamweir
{

class agent_core;
class configuration;
class configuration_follower;
class entry_core;
class event_log;
class message_socket;
class metrics_registry;
class platform;
class random_source;
class request_machine;
struct error;

} // namespace hornbeamweir
