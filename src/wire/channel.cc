#include "tcp_channel.h"

namespace peridotshelf::wire {
namespace {

using asio::ip::tcp;
using detail::TcpChannel;

Result<tcp::endpoint> ParseAddress(const Endpoint& endpoint) {
  asio::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    return Fail(ErrorCode::kInternal,
                endpoint.address + " is not an IP address");
  }
  return tcp::endpoint(address, endpoint.port);
}

}  // namespace

struct Listener::Impl : std::enable_shared_from_this<Listener::Impl> {
  Impl(asio::io_context& io, ChannelOptions channel_options,
       HelloSource hello_source, ChannelCallbacks channel_callbacks)
      : context(io),
        acceptor(io),
        options(std::move(channel_options)),
        hello(std::move(hello_source)),
        callbacks(std::move(channel_callbacks)) {}

  void AcceptNext() {
    auto channel =
        std::make_shared<TcpChannel>(context, options, hello, callbacks);
    acceptor.async_accept(
        channel->socket(),
        [self = shared_from_this(), channel](const asio::error_code& error) {
          if (error == asio::error::operation_aborted) return;
          if (!error) channel->Run();
          self->AcceptNext();
        });
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  ChannelOptions options;
  HelloSource hello;
  ChannelCallbacks callbacks;
};

Listener::Listener(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Listener::~Listener() {
  asio::error_code ignored;
  m_impl->acceptor.close(ignored);
}

Result<std::unique_ptr<Listener>> Listener::Create(io::IoThreads& threads,
                                                   const Endpoint& endpoint,
                                                   ChannelOptions options,
                                                   HelloSource hello,
                                                   ChannelCallbacks callbacks) {
  const Result<tcp::endpoint> address = ParseAddress(endpoint);
  if (!address) return tl::unexpected<Error>(address.error());
  auto impl = std::make_shared<Impl>(threads.context(), std::move(options),
                                     std::move(hello), std::move(callbacks));
  asio::error_code error;
  impl->acceptor.open(address->protocol(), error);
  // SO_REUSEADDR allows binding while old connections are in TIME_WAIT. Without
  // SO_REUSEPORT only one running process can listen on the port.
  if (!error) {
    impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) impl->acceptor.bind(*address, error);
  if (!error)
    impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(
        ErrorCode::kInternal,
        "cannot listen on " + endpoint.ToString() + ": " + error.message());
  }
  impl->AcceptNext();
  return std::unique_ptr<Listener>(new Listener(std::move(impl)));
}

void Connect(io::IoThreads& threads, const Endpoint& endpoint,
             ChannelOptions options, HelloSource hello,
             ChannelCallbacks callbacks) {
  auto channel =
      std::make_shared<TcpChannel>(threads.context(), std::move(options),
                                   std::move(hello), std::move(callbacks));
  const Result<tcp::endpoint> address = ParseAddress(endpoint);
  if (!address) {
    channel->Close(address.error());
    return;
  }
  channel->ConnectTo(*address);
}

}  // namespace peridotshelf::wire
