#include "head_check.h"

#include <array>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::http::detail {
namespace {

struct InvalidHead {
  std::string_view head;
  std::string_view reason;
};

class HeadCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeadCheckTest);
  CPPUNIT_TEST(Read_InvalidBytes_AreRejectedWithTheReason);
  CPPUNIT_TEST(Read_InvalidBytesInPieces_AreRejected);
  CPPUNIT_TEST(Read_UnusualValidHead_IsAccepted);
  CPPUNIT_TEST(Read_BytesAfterTheHead_AreIgnored);
  CPPUNIT_TEST(CheckHead_InvalidTargets_AreRejected);
  CPPUNIT_TEST(CheckHead_UnusualValidTargets_AreAccepted);
  CPPUNIT_TEST(CheckHead_HostMissingOrRepeated_IsRejected);
  CPPUNIT_TEST(CheckHead_UnknownTransferCoding_IsRejected);
  CPPUNIT_TEST(CheckHead_VersionOrMethodNotSupported_IsRejected);
  CPPUNIT_TEST(SplitAbsoluteTarget_EachForm_YieldsHostAndTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against header names and values that an engine reads in another way
  // than the gateway.
  void Read_InvalidBytes_AreRejectedWithTheReason() {
    for (const InvalidHead& invalid : kInvalidHeads) {
      const auto rejection = HeadCheck().Read(invalid.head);
      CPPUNIT_ASSERT_MESSAGE(std::string(invalid.head), rejection.has_value());
      CPPUNIT_ASSERT_EQUAL(400, rejection->status);
      CPPUNIT_ASSERT_EQUAL(std::string(invalid.reason),
                           std::string(rejection->reason));
    }
  }
  void Read_InvalidBytesInPieces_AreRejected() {
    for (const InvalidHead& invalid : kInvalidHeads) {
      HeadCheck check;
      std::optional<Rejection> rejection;
      for (size_t i = 0; i < invalid.head.size() && !rejection; ++i) {
        rejection = check.Read(invalid.head.substr(i, 1));
      }
      CPPUNIT_ASSERT_MESSAGE(std::string(invalid.head), rejection.has_value());
    }
  }
  void Read_UnusualValidHead_IsAccepted() {
    CPPUNIT_ASSERT(!HeadCheck().Read(
        "\r\nM-SEARCH /a%00;b=c,d?e=~!$&'()*+:@ HTTP/1.1\r\n"
        "!#$%&'*+-.^_`|~09aZ:\r\nTab:\ta\tb\r\nBytes: \x80\xff\r\n\r\n"));
  }
  void Read_BytesAfterTheHead_AreIgnored() {
    HeadCheck check;
    CPPUNIT_ASSERT(!check.Read("POST / HTTP/1.1\r\nA: b\r\n\r"));
    CPPUNIT_ASSERT(!check.Read(std::string_view("\n\0\n\r :", 6)));
    check.Restart();
    CPPUNIT_ASSERT(check.Read("GET / HTTP/1.1\r\nA : b\r\n\r\n").has_value());
  }

  void CheckHead_InvalidTargets_AreRejected() {
    for (const char* target :
         {"*", "*a", "host:80", "ftp://host/", "http://", "http:///path",
          "http://user@host/", "/path#fragment", "path"}) {
      const auto rejection = Check("GET", target, {{"Host", "h"}});
      CPPUNIT_ASSERT_MESSAGE(target, rejection.has_value());
      CPPUNIT_ASSERT_EQUAL(400, rejection->status);
    }
  }
  void CheckHead_UnusualValidTargets_AreAccepted() {
    for (const char* target :
         {"/", "//", "/?", "/%ff%00", "/a;b=c,d?e=~!$&'()*+:@", "/a|b{c}",
          "http://host", "HTTPS://[::1]:80/path"}) {
      CPPUNIT_ASSERT_MESSAGE(target, !Check("GET", target, {{"Host", "h"}}));
    }
    CPPUNIT_ASSERT(!Check("OPTIONS", "*", {{"Host", "h"}}));
  }
  // Guards against requests that an engine assigns to another host.
  void CheckHead_HostMissingOrRepeated_IsRejected() {
    CPPUNIT_ASSERT_EQUAL(400, Check("GET", "/", {})->status);
    CPPUNIT_ASSERT_EQUAL(
        400, Check("GET", "/", {{"Host", "a"}, {"host", "a"}})->status);
    CPPUNIT_ASSERT_EQUAL(400, Check("GET", "/", {{"Host", "a b"}})->status);
    CPPUNIT_ASSERT_EQUAL(400, Check("GET", "/", {{"Host", "a,b"}})->status);
    CPPUNIT_ASSERT(!Check("GET", "/", {{"Host", "[::1]:80 "}}));
    CPPUNIT_ASSERT(!Check("GET", "/", {{"Host", ""}}));
    CPPUNIT_ASSERT(!CheckHead({"GET", "/", {}, 1, 0}));
  }
  // Guards against a body that reaches the engine without its coding.
  void CheckHead_UnknownTransferCoding_IsRejected() {
    for (const char* coding : {"gzip", "gzip, chunked", "chunked, chunked",
                               "chunked;a=b", "identity", ""}) {
      const auto rejection =
          Check("POST", "/", {{"Host", "h"}, {"Transfer-Encoding", coding}});
      CPPUNIT_ASSERT_MESSAGE(coding, rejection.has_value());
      CPPUNIT_ASSERT_EQUAL(400, rejection->status);
    }
    const std::array<Header, 2> chunked = {
        Header{"Host", "h"}, Header{"transfer-encoding", "Chunked "}};
    CPPUNIT_ASSERT(!CheckHead({"POST", "/", chunked, 1, 1}));
    CPPUNIT_ASSERT(CheckHead({"POST", "/", chunked, 1, 0}).has_value());
    CPPUNIT_ASSERT(Check("POST", "/",
                         {{"Host", "h"},
                          {"Transfer-Encoding", "chunked"},
                          {"Transfer-Encoding", "chunked"}})
                       .has_value());
  }
  void CheckHead_VersionOrMethodNotSupported_IsRejected() {
    const std::array<Header, 1> host = {Header{"Host", "h"}};
    CPPUNIT_ASSERT_EQUAL(505, CheckHead({"GET", "/", host, 2, 0})->status);
    CPPUNIT_ASSERT_EQUAL(505, CheckHead({"GET", "/", host, 0, 9})->status);
    CPPUNIT_ASSERT(!CheckHead({"GET", "/", host, 1, 2}));
    CPPUNIT_ASSERT_EQUAL(501,
                         Check("CONNECT", "h:80", {{"Host", "h"}})->status);
  }

  void SplitAbsoluteTarget_EachForm_YieldsHostAndTarget() {
    CPPUNIT_ASSERT(Join("http://h/a?b://c") == "h /a?b://c");
    CPPUNIT_ASSERT(Join("HTTP://h:80") == "h:80 /");
    CPPUNIT_ASSERT(Join("https://h?q") == "h /?q");
    CPPUNIT_ASSERT(!SplitAbsoluteTarget("/a?http://h/"));
  }

 private:
  static std::optional<Rejection> Check(std::string_view method,
                                        std::string_view target,
                                        std::vector<Header> headers) {
    return CheckHead({method, target, headers, 1, 1});
  }
  static std::string Join(std::string_view target) {
    const auto parts = SplitAbsoluteTarget(target);
    return parts ? parts->authority + " " + parts->target : "none";
  }

  using Bytes = std::string_view;
  static constexpr std::array<InvalidHead, 19> kInvalidHeads = {{
      {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", "a space in a header name"},
      {"GET / HTTP/1.1\r\nHost\t: h\r\n\r\n", "a space in a header name"},
      {"GET / HTTP/1.1\r\nA b: h\r\n\r\n", "a space in a header name"},
      {"GET / HTTP/1.1\r\nA(b: h\r\n\r\n", "a header name is not a token"},
      {"GET / HTTP/1.1\r\nA\x80: h\r\n\r\n", "a header name is not a token"},
      {"GET / HTTP/1.1\r\nA\r\n\r\n", "a header name is not a token"},
      {"GET / HTTP/1.1\r\n: h\r\n\r\n", "a header without a name"},
      {"GET / HTTP/1.1\r\n A: h\r\n\r\n", "a folded header line"},
      {"GET / HTTP/1.1\r\nA: b\r\n\tc\r\n\r\n", "a folded header line"},
      {"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", "a carriage return inside a line"},
      {"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
       "a line that does not end with CR LF"},
      {"GET / HTTP/1.1\nA: b\n\n", "a line that does not end with CR LF"},
      {Bytes("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26),
       "a control character in a header"},
      {"GET / HTTP/1.1\r\nA: b\x7f\r\n\r\n", "a control character in a header"},
      {"GET  / HTTP/1.1\r\n\r\n", "a space too many in the request line"},
      {"GET / HTTP/1.1 \r\n\r\n", "a space too many in the request line"},
      {"GET /\r\n\r\n", "the request line has no HTTP version"},
      {"GET /\xc3\xa9 HTTP/1.1\r\n\r\n",
       "a byte in the request line is not printable ASCII"},
      {"GET\t/ HTTP/1.1\r\n\r\n",
       "a byte in the request line is not printable ASCII"},
  }};
};
CPPUNIT_TEST_SUITE_REGISTRATION(HeadCheckTest);

}  // namespace
}  // namespace peridotshelf::http::detail
