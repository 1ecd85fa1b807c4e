// Writes drawn messages, one a line in hexadecimal:
//   drawn_messages requests COUNT SEED HOST KEY
//     for the front of a gateway; request ids begin with "d" and the number of
//     the line
//   drawn_messages answers COUNT SEED
//     of engines; "<id>" stands for the id of the request
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "peridotshelf/testing/drawn_inputs.h"

namespace peridotshelf::testing {
namespace {

constexpr int kMaxSize = 100;

std::string ToHex(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    char digits[4];
    std::snprintf(digits, sizeof(digits), "%02x",
                  static_cast<unsigned char>(byte));
    text += digits;
  }
  return text;
}

std::string Chunk(const std::string& data) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return data.empty() ? "" : size + data + "\r\n";
}

rc::Gen<std::string> DrawStartLine() {
  const auto method = rc::gen::weightedOneOf<std::string>(
      {{40, rc::gen::element<std::string>("GET", "POST", "PUT", "HEAD",
                                          "DELETE", "PATCH", "OPTIONS")},
       {1, rc::gen::element<std::string>("CONNECT", "TRACE", "PRI", "get", "",
                                         "M-SEARCH", "LOCK")},
       {1, DrawBytes()}});
  const auto target = rc::gen::weightedOneOf<std::string>(
      {{30, rc::gen::element<std::string>("/page/1", "/post/1?a=b", "/chat/1",
                                          "/page/%E9", "/page/1?x=%00&y",
                                          "/page//../x", "/post/;v=1")},
       {1, rc::gen::map(
               DrawBytes(),
               [](const std::string& bytes) { return "/page/" + bytes; })},
       {1, rc::gen::element<std::string>("*", "", "//", "http://other/page/1",
                                         "other:80", "/page/1#x")}});
  const auto version = rc::gen::weightedOneOf<std::string>(
      {{60, rc::gen::just<std::string>("HTTP/1.1")},
       {1, rc::gen::element<std::string>("HTTP/1.0", "HTTP/2.0", "HTTP/9.9",
                                         "HTTP/", "")}});
  return rc::gen::map(rc::gen::tuple(method, target, version),
                      [](const auto& drawn) {
                        return std::get<0>(drawn) + " " + std::get<1>(drawn) +
                               " " + std::get<2>(drawn) + "\r\n";
                      });
}

rc::Gen<std::string> DrawId(const std::string& id) {
  return DrawHeader("X-Request-Id", {id, id, id, id + "\xE9", id + "\xFF\x80",
                                     id + ",1/2", id + "\"\\", id + "\xC3\xA9",
                                     id + std::string(5000, 'x'), id + "\tx"});
}

rc::Gen<std::string> DrawBody() {
  const auto sized = rc::gen::map(DrawBytes(), [](const std::string& body) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  });
  const auto chunked = rc::gen::map(DrawBytes(), [](const std::string& body) {
    return "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body) + "0\r\n\r\n";
  });
  const auto contradicting = rc::gen::map(
      rc::gen::pair(DrawNumber(), DrawBytes()),
      [](const std::pair<std::string, std::string>& drawn) {
        return "Content-Length: " + drawn.first + "\r\n\r\n" + drawn.second;
      });
  return rc::gen::weightedOneOf<std::string>(
      {{6, sized},
       {3, chunked},
       {2, contradicting},
       {1, rc::gen::element<std::string>(
               "\r\n", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
               "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
               "2\r\nab\r\n0\r\n\r\n",
               "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n")}});
}

rc::Gen<std::string> DrawRequest(int number, const std::string& host,
                                 const std::string& key) {
  const std::string id = "d" + std::to_string(number) + "-";
  const auto head = rc::gen::tuple(
      DrawStartLine(), DrawHeader("Host", {host, host + ":80"}), DrawId(id),
      DrawHeader("Authorization", {"Bearer " + key}),
      DrawHeader("X-Deadline-Ms", {"1000", "3000"}),
      DrawHeader("X-Token-Counts",
                 {"100,48", "100,48", "300000,48", "1000000,48"}),
      DrawHeader("X-Prompt-Prefix", {"p1:50,own:50", "p\xE9:50,own:50"}));
  const auto more = rc::gen::oneOf(
      rc::gen::just(std::string()),
      DrawHeader("X-More", {"1", "\xE9", "a\tb", ""}),
      DrawHeader("Last-Event-Id", {"1", "0", "9223372036854775807"}),
      DrawHeader("X-Length-Hint", {"10"}),
      DrawHeader("Connection", {"close", "X-Request-Id", "keep-alive, X-More"}),
      DrawHeader("X-Tenant", {"other"}), DrawHeader("Expect", {"100-continue"}),
      DrawHeader("Upgrade", {"h2c"}));
  const auto whole =
      rc::gen::map(rc::gen::tuple(head, more, DrawBody()), [](const auto& in) {
        const auto& lines = std::get<0>(in);
        return std::apply(
                   [](const auto&... line) {
                     return (std::string() + ... + line);
                   },
                   lines) +
               std::get<1>(in) + std::get<2>(in);
      });
  return rc::gen::mapcat(whole, &DrawChanged);
}

rc::Gen<std::string> DrawEvents() {
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::map(
                          rc::gen::pair(DrawNumber(), DrawBytes()),
                          [](const std::pair<std::string, std::string>& drawn) {
                            return "id: " + drawn.first +
                                   "\ndata: " + drawn.second + "\n\n";
                          })),
                      [](const std::vector<std::string>& drawn) {
                        std::string events = "id: 1\ndata: x\n\n";
                        for (const std::string& event : drawn) events += event;
                        return events;
                      });
}

rc::Gen<std::string> DrawAnswerBody() {
  const auto content = rc::gen::oneOf(DrawBytes(), DrawEvents());
  const auto sized = rc::gen::map(content, [](const std::string& body) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  });
  const auto chunked = rc::gen::map(content, [](const std::string& body) {
    return "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body) + "0\r\n\r\n";
  });
  const auto unframed = rc::gen::map(
      content, [](const std::string& body) { return "\r\n" + body; });
  const auto contradicting = rc::gen::map(
      rc::gen::pair(DrawNumber(), content),
      [](const std::pair<std::string, std::string>& drawn) {
        return "Content-Length: " + drawn.first + "\r\n\r\n" + drawn.second;
      });
  return rc::gen::weightedOneOf<std::string>(
      {{5, sized}, {5, chunked}, {2, unframed}, {1, contradicting}});
}

rc::Gen<std::string> DrawEngineAnswer() {
  const auto status = rc::gen::weightedOneOf<std::string>(
      {{20, rc::gen::just<std::string>("HTTP/1.1 200 OK")},
       {4, rc::gen::element<std::string>(
               "HTTP/1.1 503 x", "HTTP/1.1 421 x", "HTTP/1.1 500 \xE9",
               "HTTP/1.1 204 x", "HTTP/1.1 304 x", "HTTP/1.1 100 x",
               "HTTP/1.1 999 x", "HTTP/1.1 000 x", "HTTP/1.0 200 OK",
               "HTTP/2 200", "HTTP/1.1 -1 x", "HTTP/1.1 200")},
       {1, DrawBytes()}});
  const auto more = rc::gen::oneOf(
      rc::gen::just(std::string()),
      DrawHeader("X-More", {"1", "\xE9", "a\tb", "", "a\rb"}),
      DrawHeader("Server-Limit", {"100", "1.5"}),
      DrawHeader("Retry-After", {"0", "0.1"}), DrawHeader("X-Not-Run", {"1"}),
      DrawHeader("At-Server", {"127.0.0.1:80"}),
      DrawHeader("Connection", {"close", "X-Request-Id"}),
      DrawHeader("Content-Encoding", {"gzip"}),
      DrawHeader("Trailer", {"X-Request-Id"}));
  const auto whole =
      rc::gen::map(rc::gen::tuple(status, DrawHeader("X-Request-Id", {"<id>"}),
                                  DrawHeader("X-Server-Stamp", {"stamp"}), more,
                                  DrawAnswerBody()),
                   [](const auto& in) {
                     return std::get<0>(in) + "\r\n" + std::get<1>(in) +
                            std::get<2>(in) + std::get<3>(in) + std::get<4>(in);
                   });
  return rc::gen::mapcat(whole, &DrawChanged);
}

int Write(const std::vector<std::string>& arguments) {
  const bool has_requests = arguments.size() == 5 && arguments[0] == "requests";
  const bool has_answers = arguments.size() == 3 && arguments[0] == "answers";
  if (!has_requests && !has_answers) {
    std::cerr << "usage: drawn_messages requests COUNT SEED HOST KEY, or "
                 "answers COUNT SEED\n";
    return 2;
  }
  const int count = std::atoi(arguments[1].c_str());
  const uint64_t seed = std::strtoull(arguments[2].c_str(), nullptr, 10);
  for (int i = 0; i < count; ++i) {
    const rc::Random random(seed + static_cast<uint64_t>(i));
    const auto messages = has_requests
                              ? DrawRequest(i, arguments[3], arguments[4])
                              : DrawEngineAnswer();
    std::cout << ToHex(messages(random, i % kMaxSize + 1).value()) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace peridotshelf::testing

int main(int argc, char** argv) {
  return peridotshelf::testing::Write({argv + 1, argv + argc});
}
