/// Parses addresses of engines. Included in source files only, as Asio is slow
/// to compile.
#pragma once

#include <asio/ip/tcp.hpp>
#include <charconv>
#include <optional>
#include <string_view>

namespace peridotshelf::gateway {

/// Parses "IP:PORT"; nullopt if it is malformed.
inline std::optional<asio::ip::tcp::endpoint> ParseAddress(
    std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  asio::error_code error;
  const auto ip =
      asio::ip::make_address(std::string(address.substr(0, colon)), error);
  const std::string_view port_text = address.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, port_error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (error || port_error != std::errc() ||
      end != port_text.data() + port_text.size()) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace peridotshelf::gateway
