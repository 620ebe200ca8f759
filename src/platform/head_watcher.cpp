#include <hornbeamweir/platform/head_watcher.hpp>

namespace hornbeamweir
{

head_watcher::head_watcher(
    boost::asio::io_context& context,
    platform& service,
    std::function<void(configuration_head const&)> changed)
    : changed_{std::move(changed)}
    , watcher_{
          context,
          service,
          std::string{configuration_key::head},
          [this](range_reply const& reply)
          {
              for (auto it = reply.values.begin(); it != reply.values.end();
                   ++it)
                  apply(it->second.value);
          },
          [this](std::vector<watch_event> const& events)
          {
              for (watch_event const& it : events)
              {
                  if (it.value)
                      apply(it.value->value);
              }
          }}
{
}

void head_watcher::apply(std::string const& value)
{
    result<configuration_head> const head = decode_head(value);
    if (head)
        changed_(*head);
}

} // namespace hornbeamweir
