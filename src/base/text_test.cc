#include "peridotshelf/base/text.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf {
namespace {

/// Returns the bytes that `EscapeBytes` has escaped.
std::string Unescape(const std::string& text) {
  std::string bytes;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\') {
      bytes += text[i];
    } else if (text[i + 1] == '\\') {
      bytes += text[++i];
    } else {
      bytes += static_cast<char>(std::stoi(text.substr(i + 2, 2), nullptr, 16));
      i += 3;
    }
  }
  return bytes;
}

class TextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextTest);
  CPPUNIT_TEST(IsUtf8_Characters_AreAccepted);
  CPPUNIT_TEST(IsUtf8_OtherBytes_AreNot);
  CPPUNIT_TEST(EscapeBytes_AnyBytes_AreUtf8AndCanBeTold);
  CPPUNIT_TEST(FindCut_InsideACharacter_IsBeforeIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsUtf8_Characters_AreAccepted() {
    for (const char* text : {"", "a\n", "\xC3\xA9", "\xE2\x82\xAC",
                             "\xED\x9F\xBF", "\xF0\x9F\x98\x80"}) {
      CPPUNIT_ASSERT(IsUtf8(text));
    }
  }
  void IsUtf8_OtherBytes_AreNot() {
    // A continuation alone, overlong forms, a surrogate, over U+10FFFF, cut.
    for (const char* text :
         {"\x80", "\xE9", "\xC0\xAF", "\xE0\x80\xAF", "\xF0\x80\x80\xAF",
          "\xED\xA0\x80", "\xF4\x90\x80\x80", "\xFF", "\xE2\x82", "\xC3(",
          "\xE2\x82("}) {
      CPPUNIT_ASSERT(!IsUtf8(text));
    }
  }
  void EscapeBytes_AnyBytes_AreUtf8AndCanBeTold() {
    testing::CheckProperty("any bytes", [](const std::string& bytes) {
      const std::string escaped = EscapeBytes(bytes);
      RC_ASSERT(IsUtf8(escaped));
      RC_ASSERT(Unescape(escaped) == bytes);
    });
  }
  void FindCut_InsideACharacter_IsBeforeIt() {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, FindCut("a\xE2\x82\xAC", 3));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, FindCut("a\xE2\x82\xAC", 4));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, FindCut("\xE2\x82\xAC\xE2\x82\xAC", 5));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TextTest);

}  // namespace
}  // namespace peridotshelf
