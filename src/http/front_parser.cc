// Callbacks of http_parser for a front connection.
#include <strings.h>

#include <limits>
#include <utility>

#include "front_connection.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::http {
namespace {

constexpr detail::Rejection kTooLargeHead = {
    kHeaderTooLarge, "the head exceeds the configured limit"};
constexpr detail::Rejection kTooLargeBody = {
    kPayloadTooLarge, "the body exceeds the configured limit"};

/// Changes a target in absolute form to the form that origin servers get. Its
/// host replaces the Host header.
void UseOriginForm(ParsedRequest& request) {
  auto absolute = detail::SplitAbsoluteTarget(request.target);
  if (request.target.starts_with('/') || !absolute) return;
  request.target = std::move(absolute->target);
  std::erase_if(request.headers, [](const Header& header) {
    return strcasecmp(header.name.c_str(), "Host") == 0;
  });
  request.headers.insert(request.headers.begin(),
                         {"Host", std::move(absolute->authority)});
}

}  // namespace

void FrontConnection::ResetParser() {
  http_parser_init(&m_parser, HTTP_REQUEST);
  m_parser.data = this;
  m_head_check.Restart();
  m_request = {};
  m_head_bytes = 0;
  m_request_begun = false;
  m_head_complete = false;
  m_message_complete = false;
}

int FrontConnection::OnBegin(http_parser* parser) {
  FrontConnection& self = FromParser(parser);
  self.m_request_begun = true;
  self.m_request_begun_at = SteadyClock().Now();
  return 0;
}

int FrontConnection::OnUrl(http_parser* parser, const char* at, size_t length) {
  FrontConnection& self = FromParser(parser);
  self.m_request.target.append(at, length);
  if (!self.ExceedsHeadLimit(length)) return 0;
  return self.FailParsing(kTooLargeHead);
}

int FrontConnection::OnField(http_parser* parser, const char* at,
                             size_t length) {
  FrontConnection& self = FromParser(parser);
  ParsedRequest& request = self.m_request;
  if (self.m_head_complete) return self.OnTrailer(length);
  if (request.headers.empty() || request.is_in_value) {
    request.headers.emplace_back();
    request.is_in_value = false;
  }
  request.headers.back().name.append(at, length);
  if (!self.ExceedsHeadLimit(length)) return 0;
  return self.FailParsing(kTooLargeHead);
}

int FrontConnection::OnValue(http_parser* parser, const char* at,
                             size_t length) {
  FrontConnection& self = FromParser(parser);
  if (self.m_head_complete) return self.OnTrailer(length);
  self.m_request.is_in_value = true;
  self.m_request.headers.back().value.append(at, length);
  if (!self.ExceedsHeadLimit(length)) return 0;
  return self.FailParsing(kTooLargeHead);
}

int FrontConnection::OnTrailer(size_t length) {
  if (!ExceedsHeadLimit(length)) return 0;
  return FailParsing(kTooLargeHead);
}

int FrontConnection::FailParsing(const detail::Rejection& rejection) {
  m_rejection = rejection;
  return -1;
}

int FrontConnection::FailForHeldBytes() {
  ++m_server->counters.rejected_bodies;
  const Duration wait = m_server->held->PredictWait(SteadyClock().Now());
  return FailParsing({kUnavailable, "the bodies held exceed their limit",
                      std::chrono::ceil<std::chrono::seconds>(wait).count()});
}

int FrontConnection::OnHeadersComplete(http_parser* parser) {
  FrontConnection& self = FromParser(parser);
  self.m_head_complete = true;
  self.m_body_progress.Restart(SteadyClock().Now());
  ParsedRequest& request = self.m_request;
  request.method = http_method_str(static_cast<http_method>(parser->method));
  request.keep_alive = http_should_keep_alive(parser) != 0;
  const auto rejection =
      detail::CheckHead({request.method, request.target, request.headers,
                         parser->http_major, parser->http_minor});
  if (rejection) return self.FailParsing(*rejection);
  UseOriginForm(request);
  const bool has_length =
      parser->content_length != std::numeric_limits<uint64_t>::max();
  request.has_body =
      has_length || FindHeader(request.headers, "Transfer-Encoding");
  if (has_length &&
      parser->content_length > self.m_server->limits.max_body_bytes) {
    return self.FailParsing(kTooLargeBody);
  }
  if (has_length) request.body.reserve(parser->content_length);
  const auto expect = FindHeader(request.headers, "Expect");
  if (expect && *expect == "100-continue") {
    self.Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return 0;
}

int FrontConnection::OnBody(http_parser* parser, const char* at,
                            size_t length) {
  FrontConnection& self = FromParser(parser);
  std::string& body = self.m_request.body;
  if (body.size() + length > self.m_server->limits.max_body_bytes) {
    return self.FailParsing(kTooLargeBody);
  }
  if (!self.m_body_lease.TryAdd(length)) return self.FailForHeldBytes();
  body.append(at, length);
  self.m_body_progress.Add(length, SteadyClock().Now());
  return 0;
}

int FrontConnection::OnMessageComplete(http_parser* parser) {
  FromParser(parser).m_message_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& FrontConnection::ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = &OnBegin;
    callbacks.on_url = &OnUrl;
    callbacks.on_header_field = &OnField;
    callbacks.on_header_value = &OnValue;
    callbacks.on_headers_complete = &OnHeadersComplete;
    callbacks.on_body = &OnBody;
    callbacks.on_message_complete = &OnMessageComplete;
    return callbacks;
  }();
  return settings;
}

}  // namespace peridotshelf::http
