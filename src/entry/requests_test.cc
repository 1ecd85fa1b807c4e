#include "entry/requests.h"

#include <nlohmann/json.hpp>

#include "entry/completion_reader.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::entry {
namespace {

using nlohmann::json;

/// Asserts that `body` is refused with an error that begins with `field`.
void ExpectInvalidField(const std::string& body, const std::string& field) {
  const Result<CompletionBody> read = ReadCompletionBody(body);
  CPPUNIT_ASSERT_MESSAGE(body, !read.has_value());
  CPPUNIT_ASSERT(read.error().code == ErrorCode::kInvalidField);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(body, field,
                               read.error().detail.substr(0, field.size()));
}

class CompletionBodyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompletionBodyTest);
  CPPUNIT_TEST(Body_WithTokens_IsRead);
  CPPUNIT_TEST(Body_WithUnknownFields_IgnoresThem);
  CPPUNIT_TEST(Prompt_AnyJson_IsViewIntoBody);
  CPPUNIT_TEST(Prompt_OfMillionTokens_IsNotCopied);
  CPPUNIT_TEST(Body_Malformed_NamesBody);
  CPPUNIT_TEST(Body_InvalidUtf8_NamesBody);
  CPPUNIT_TEST(Field_WrongTypeOrRange_IsNamed);
  CPPUNIT_TEST(Body_DeeplyNested_IsRefused);
  CPPUNIT_TEST(Body_AnyBytes_IsReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Body_WithTokens_IsRead() {
    const std::string text =
        R"({"model":"m","max_tokens":7,"prompt": [1, 22 ,333],"stream":true})";
    const auto body = ReadCompletionBody(text);
    CPPUNIT_ASSERT_EQUAL(std::string("m"), body->model);
    CPPUNIT_ASSERT(body->prompt_json == "[1, 22 ,333]");
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, body->prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, body->max_tokens);
    CPPUNIT_ASSERT(body->stream);
  }
  void Body_WithUnknownFields_IgnoresThem() {
    const auto body = ReadCompletionBody(
        R"({"stop":["a",{"prompt":[-1]}],"prompt":"x\"]","user":null,)"
        R"("temperature":0.5,"logit_bias":{"model":1},"model":"m"})");
    CPPUNIT_ASSERT(body.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("m"), body->model);
    CPPUNIT_ASSERT_EQUAL(std::string(R"("x\"]")"),
                         std::string(body->prompt_json));
    CPPUNIT_ASSERT_EQUAL(int64_t{16}, body->max_tokens);
  }
  void Prompt_AnyJson_IsViewIntoBody() {
    testing::CheckProperty("the prompt is a view into the body", [] {
      const auto text = *rc::gen::nonEmpty(rc::gen::string<std::string>());
      const auto tokens =
          *rc::gen::nonEmpty(rc::gen::container<std::vector<uint16_t>>(
              rc::gen::arbitrary<uint16_t>()));
      const bool as_text = *rc::gen::arbitrary<bool>();
      const json prompt = as_text ? json(text) : json(tokens);
      const int indent = *rc::gen::inRange(-1, 3);
      const std::string body_json = json{
          {"a", {1, "]"}},
          {"model", "m"},
          {"prompt", prompt},
          {"z", 1}}.dump(indent, ' ', false, json::error_handler_t::replace);
      const auto body = ReadCompletionBody(body_json);
      RC_ASSERT(body.has_value());
      RC_ASSERT(json::parse(body->prompt_json) ==
                json::parse(body_json)["prompt"]);
      RC_ASSERT(body->prompt_json.data() > body_json.data());
      RC_ASSERT(body->prompt_json.data() < body_json.data() + body_json.size());
    });
  }
  void Prompt_OfMillionTokens_IsNotCopied() {
    constexpr int64_t kTokens = 1'000'000;
    std::string text = R"({"model":"m","prompt":[1)";
    for (int64_t i = 1; i < kTokens; ++i) text += ",12345";
    text += "]}";
    http::ServerRequest request;
    request.body = text;
    request.owner = std::make_shared<int>(0);
    const ReaderLimits limits{std::chrono::seconds(1), std::chrono::hours(1)};
    const auto completion = ReadCompletion(request, limits);
    CPPUNIT_ASSERT_EQUAL(kTokens, completion->prompt_tokens);
    CPPUNIT_ASSERT(completion->prompt_json.data() ==
                   text.data() + text.find('['));
    CPPUNIT_ASSERT(completion->prompt_owner == request.owner);
  }
  void Body_Malformed_NamesBody() {
    for (const char* body :
         {"", "{", "[1]", "7", "null", "\"x\"", R"({"model":"m",)",
          R"({"prompt")", R"({"prompt":)", R"({"model":"m","prompt":"x"}})",
          R"({"model":"m","prompt":[1]]})", R"({"model":"m","x":1e999})",
          R"({"model":"m","prompt":[1e999]})"}) {
      ExpectInvalidField(body, "body: ");
    }
  }
  void Body_InvalidUtf8_NamesBody() {
    ExpectInvalidField("{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}", "body: ");
    ExpectInvalidField("{\"model\":\"m\",\"prompt\":\"\xc0\x80\"}", "body: ");
    ExpectInvalidField("{\"model\":\"m\xed\xa0\x80\",\"prompt\":\"x\"}",
                       "body: ");
  }
  void Field_WrongTypeOrRange_IsNamed() {
    ExpectInvalidField(R"({"prompt":"x"})", "model: ");
    ExpectInvalidField(R"({"model":1,"prompt":"x"})", "model: ");
    ExpectInvalidField(R"({"model":["m"],"prompt":"x"})", "model: ");
    ExpectInvalidField(R"({"model":"","prompt":"x"})", "model: ");
    ExpectInvalidField(R"({"model":"m"})", "prompt: ");
    for (const char* prompt : {"null", "7", "{}", "[]", "\"\"", "[-1]", "[1.5]",
                               "[\"x\"]", "[[1]]", "[99999999999]", "[01]",
                               "[1,]", "[1,2", "[1 2]", "[1],\"prompt\":[2]"}) {
      ExpectInvalidField(
          R"({"model":"m","prompt":)" + std::string(prompt) + "}", "prompt: ");
    }
    for (const char* value : {"0", "-1", "1000001", "1.5",
                              "99999999999999999999", "\"7\"", "null", "[1]"}) {
      ExpectInvalidField(R"({"model":"m","prompt":"x","max_tokens":)" +
                             std::string(value) + "}",
                         "max_tokens: ");
    }
    ExpectInvalidField(R"({"model":"m","prompt":"x","stream":1})", "stream: ");
  }
  void Body_DeeplyNested_IsRefused() {
    ExpectInvalidField(R"({"x":)" + std::string(1'000'000, '['), "body: ");
  }
  void Body_AnyBytes_IsReadOrRefused() {
    testing::CheckProperty("any bytes are read or refused", [] {
      std::string text = R"({"model":"m","prompt":[1,2],"max_tokens":3})";
      const auto changes = *rc::gen::inRange(0, 4);
      for (int i = 0; i < changes; ++i) {
        text[*rc::gen::inRange<size_t>(0, text.size())] =
            *rc::gen::arbitrary<char>();
      }
      const auto body = ReadCompletionBody(text);
      RC_ASSERT(body.has_value() || !body.error().detail.empty());
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CompletionBodyTest);

class CallerOptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerOptionsTest);
  CPPUNIT_TEST(Headers_Valid_AreRead);
  CPPUNIT_TEST(Header_OutOfRange_IsNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Headers_Valid_AreRead() {
    const auto options = Read({{"peridotshelf-team", "checks"},
                               {"Peridotshelf-Timeout-Ms", "1500"},
                               {"Peridotshelf-Unrepeatable", "true"}});
    CPPUNIT_ASSERT_EQUAL(TeamId("checks"), options->team);
    CPPUNIT_ASSERT(options->timeout == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(options->unrepeatable == true);
  }
  void Header_OutOfRange_IsNamed() {
    const std::vector<http::Header> invalid_headers = {
        {"Peridotshelf-Timeout-Ms", "0"},
        {"Peridotshelf-Timeout-Ms", "-5"},
        {"Peridotshelf-Timeout-Ms", "5s"},
        {"Peridotshelf-Timeout-Ms", "99999999999999999999"},
        {"Peridotshelf-Issued-At", "yesterday"},
        {"Peridotshelf-Unrepeatable", "yes"},
        {"Peridotshelf-Team", ""},
        {"Peridotshelf-Team", std::string(65, 't')},
        {"Idempotency-Key", std::string(257, 'k')}};
    for (const http::Header& header : invalid_headers) {
      const auto options = Read({header});
      CPPUNIT_ASSERT(!options.has_value());
      CPPUNIT_ASSERT(options.error().code == ErrorCode::kInvalidField);
      CPPUNIT_ASSERT(options.error().detail.starts_with(header.name + ": "));
    }
  }

 private:
  static Result<CallerOptions> Read(std::vector<http::Header> headers) {
    http::ServerRequest request;
    request.headers = std::move(headers);
    return ReadCallerOptions(request,
                             {std::chrono::seconds(1), std::chrono::hours(1)});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallerOptionsTest);

}  // namespace
}  // namespace peridotshelf::entry
